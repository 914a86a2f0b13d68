package gossip

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"falldeal/internal/fleet"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// requireGoldenText compares got, all cases of a table, byte for byte with the golden file of that name.
func requireGoldenText(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// newAloneFleet returns a part in a fleet that no other member was heard of in, and whose counters all differ.
func newAloneFleet(t *testing.T) *Fleet {
	log, _ := test.NewNullLogger()
	alone, err := New(Config{Place: fleet.Place{Name: "n3", Addr: "10.0.0.1:7946", Region: "belgium", Zone: "mechelen", Version: "1.2.3", Run: 7},
		Digest: 0xabc, Limits: fleet.Limits{Members: 4}, Incarnation: 9}, log)
	require.NoError(t, err)
	counters := &alone.Counters
	counters.PacketsOut.Store(1)
	counters.BytesOut.Store(2)
	counters.Streams.Store(3)
	counters.StreamBytes.Store(4)
	counters.Updates.Store(5)
	counters.NewUpdates.Store(6)
	counters.Malformed.Store(7)
	counters.ForeignPackets.Store(8)
	counters.Overflow.Store(9)
	counters.Calls.Store(10)
	counters.CallsFailed.Store(11)
	counters.Direct.Store(12)
	counters.Suspicions.Store(13)
	counters.Objections.Store(14)
	return alone
}

var (
	changingLine = regexp.MustCompile(`(oldest_ms):\d+`)
	changingKey  = regexp.MustCompile(`"(age_ms|since_ms|oldest_ms)":\d+`)
)

// Lines that this instance's part in a fleet adds to /metrics, in their order.
func TestGoldenMetricsOfAloneMember(t *testing.T) {
	got := changingLine.ReplaceAllString(string(newAloneFleet(t).AppendMetrics(nil)), "$1:(time)")
	requireGoldenText(t, "figures", got)
}

// The call /fleet of the console: its pattern, its type and its body.
func TestGoldenPageOfAloneMember(t *testing.T) {
	page := newAloneFleet(t).Page()
	body := page.Do()
	require.True(t, json.Valid(body))
	got := fmt.Sprintf("%s\n%s\n%s", page.Pattern, page.Type, changingKey.ReplaceAll(body, []byte(`"$1":(time)`)))
	requireGoldenText(t, "page", got)
	require.Equal(t, 1, strings.Count(got, `"counters"`))
}

// The lines that tell what changes in the fleet: another member joins, is met, drains, and starts again.
func TestGoldenChanges(t *testing.T) {
	member := newAloneFleet(t)
	var lines bytes.Buffer
	log := logrus.New()
	log.SetOutput(&lines)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, DisableTimestamp: true})
	member.log = log
	other := fleet.Record{Name: "n4", Run: 5, Seq: 1, Zone: "mechelen", Region: "belgium", Version: "1.2.3", Config: 0xabc, State: fleet.Serving}
	merge := func(at time.Duration, rec fleet.Record) {
		member.view.Merge(at, at, rec)
		member.publishSnapshot(at)
	}
	merge(time.Second, other)
	member.view.ObserveReach(2*time.Second, "n4", 5, fleet.Reached)
	member.publishSnapshot(2 * time.Second)
	other.Seq, other.State, other.Version, other.Config = 2, fleet.Draining, "1.2.4", 0xdef
	merge(3*time.Second, other)
	other.Run, other.Seq = 6, 1
	merge(4*time.Second, other)
	member.publishSnapshot(5 * time.Minute)
	requireGoldenText(t, "changes", lines.String())
}

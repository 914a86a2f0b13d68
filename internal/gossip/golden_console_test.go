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

// quiet returns a part in a fleet that no other member was heard of in, and whose counters all differ.
func quiet(t *testing.T) *Fleet {
	log, _ := test.NewNullLogger()
	f, err := New(Config{Place: fleet.Place{Name: "n3", Addr: "10.0.0.1:7946", Region: "belgium", Zone: "mechelen", Version: "1.2.3", Run: 7},
		Digest: 0xabc, Limits: fleet.Limits{Members: 4}, Incarnation: 9}, log)
	require.NoError(t, err)
	c := &f.Counters
	c.PacketsOut.Store(1)
	c.BytesOut.Store(2)
	c.Streams.Store(3)
	c.StreamBytes.Store(4)
	c.Updates.Store(5)
	c.NewUpdates.Store(6)
	c.Malformed.Store(7)
	c.ForeignPackets.Store(8)
	c.Overflow.Store(9)
	c.Calls.Store(10)
	c.CallsFailed.Store(11)
	c.Direct.Store(12)
	c.Suspicions.Store(13)
	c.Objections.Store(14)
	return f
}

var (
	passingLine = regexp.MustCompile(`(oldest_ms):\d+`)
	passingKey  = regexp.MustCompile(`"(age_ms|since_ms|oldest_ms)":\d+`)
)

// Lines that this instance's part in a fleet adds to /metrics, in their order.
func TestGoldenFiguresOfAQuietFleet(t *testing.T) {
	got := passingLine.ReplaceAllString(string(quiet(t).AppendMetrics(nil)), "$1:(time)")
	requireGoldenText(t, "figures", got)
}

// The call /fleet of the console: its pattern, its type and its body.
func TestGoldenPageOfAQuietFleet(t *testing.T) {
	page := quiet(t).Page()
	body := page.Do()
	require.True(t, json.Valid(body))
	got := fmt.Sprintf("%s\n%s\n%s", page.Pattern, page.Type, passingKey.ReplaceAll(body, []byte(`"$1":(time)`)))
	requireGoldenText(t, "page", got)
	require.Equal(t, 1, strings.Count(got, `"counters"`))
}

// The lines that tell what changes in the fleet: another member joins, is met, drains, and starts again.
func TestGoldenChanges(t *testing.T) {
	f := quiet(t)
	var lines bytes.Buffer
	log := logrus.New()
	log.SetOutput(&lines)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, DisableTimestamp: true})
	f.log = log
	other := fleet.Record{Name: "n4", Run: 5, Seq: 1, Zone: "mechelen", Region: "belgium", Version: "1.2.3", Config: 0xabc, State: fleet.Serving}
	heard := func(at time.Duration, rec fleet.Record) {
		f.view.Merge(at, at, rec)
		f.publish(at)
	}
	heard(time.Second, other)
	f.view.ObserveReach(2*time.Second, "n4", 5, fleet.Reached)
	f.publish(2 * time.Second)
	other.Seq, other.State, other.Version, other.Config = 2, fleet.Draining, "1.2.4", 0xdef
	heard(3*time.Second, other)
	other.Run, other.Seq = 6, 1
	heard(4*time.Second, other)
	f.publish(5 * time.Minute)
	requireGoldenText(t, "changes", lines.String())
}

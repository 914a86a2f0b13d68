package gossip

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"falldeal/internal/fleet"
	"falldeal/lab/golden"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// newGoldenPublishedFleet returns a membership with a value for everything that the page and the metrics contain. The
// records are in the future, so that their ages are 0 and do not depend on the time at which the test runs.
func newGoldenPublishedFleet(t *testing.T) *Fleet {
	t.Helper()
	membership, records := newGoldenFleet(t), goldenRecords()
	setCounters(&membership.Counters)
	snapshot := snapshotOf(records, fleet.Alive)
	for i := range snapshot.Members {
		snapshot.Members[i].RecordedAt, snapshot.Members[i].Since = time.Hour, time.Hour
	}
	snapshot.Members[1].Liveness = fleet.Left
	snapshot.Zones = []fleet.Zone{{Region: "eu", Zone: "eu-a", Known: 1}}
	snapshot.Zones[0].Count[fleet.Alive] = 1
	snapshot.Total.Known = 28
	for liveness := fleet.Unconfirmed; liveness <= fleet.Left; liveness++ {
		snapshot.Total.Count[liveness] = int(liveness) + 1
	}
	membership.snapshot.Store(snapshot)
	return membership
}

// Scripts and other versions of falldeal-fleet read the page, so that its keys and values must not change.
func TestGoldenPage(t *testing.T) {
	page := newGoldenPublishedFleet(t).Page()
	require.Equal(t, "GET /fleet", page.Pattern)
	require.Equal(t, "application/json", page.Type)
	golden.RequireFile(t, "page.json", string(page.Body()))
}

// Operators collect the metrics by name, so that the names must not change.
func TestGoldenMetrics(t *testing.T) {
	membership := newGoldenPublishedFleet(t)
	got := string(membership.AppendMetrics([]byte("before:1|g\n")))
	membership.snapshot.Store(snapshotOf(goldenRecords()[:1], fleet.Alive))
	got += "---\n" + string(membership.AppendMetrics(nil))
	golden.RequireFile(t, "figures.txt", got)
}

// These match values that depend on the time at which the test runs.
var (
	changingMetric = regexp.MustCompile(`(oldest_ms):\d+`)
	changingKey    = regexp.MustCompile(`"(age_ms|since_ms|oldest_ms)":\d+`)
)

// A member that knows no other member must publish all metrics too, in the same order.
func TestGoldenMetricsOfAloneMember(t *testing.T) {
	metrics := string(newAloneFleet(t).AppendMetrics(nil))
	golden.RequireFile(t, "figures.golden", changingMetric.ReplaceAllString(metrics, "$1:(time)"))
}

// A member that knows no other member must serve a valid page that reports itself alone.
func TestGoldenPageOfAloneMember(t *testing.T) {
	page := newAloneFleet(t).Page()
	body := page.Body()
	require.True(t, json.Valid(body))
	fixed := changingKey.ReplaceAll(body, []byte(`"$1":(time)`))
	got := fmt.Sprintf("%s\n%s\n%s", page.Pattern, page.Type, fixed)
	golden.RequireFile(t, "page.golden", got)
	require.Equal(t, 1, strings.Count(got, `"counters"`))
}

// Operators search the log for these lines. The test makes another member join, become reached, drain and restart.
func TestGoldenChanges(t *testing.T) {
	membership := newAloneFleet(t)
	var lines bytes.Buffer
	log := logrus.New()
	log.SetOutput(&lines)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, DisableTimestamp: true})
	membership.log = log
	other := fleet.Record{
		Name: "n4", Run: 5, Seq: 1, Zone: "mechelen", Region: "belgium", Version: "1.2.3", Config: 0xabc,
		State: fleet.Serving,
	}
	merge := func(at time.Duration, record fleet.Record) {
		membership.owner.view.Merge(at, at, record)
		membership.owner.publishSnapshot(at)
	}
	merge(time.Second, other)
	membership.owner.view.ObserveReach(2*time.Second, "n4", 5, fleet.Reached)
	membership.owner.publishSnapshot(2 * time.Second)
	other.Seq, other.State, other.Version, other.Config = 2, fleet.Draining, "1.2.4", 0xdef
	merge(3*time.Second, other)
	other.Run, other.Seq = 6, 1
	merge(4*time.Second, other)
	membership.owner.publishSnapshot(5 * time.Minute)
	golden.RequireFile(t, "changes.golden", lines.String())
}

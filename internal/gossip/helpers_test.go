package gossip

import (
	"sync/atomic"
	"testing"
	"time"

	"falldeal/internal/fleet"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// newTestFleet returns a membership that has no sockets, is not running and logs nothing.
func newTestFleet(t *testing.T, config Config) *Fleet {
	t.Helper()
	log, _ := test.NewNullLogger()
	membership, err := New(config, log)
	require.NoError(t, err)
	return membership
}

// setCounters sets each counter to a different value.
func setCounters(counters *Counters) {
	for i, counter := range []*atomic.Int64{
		&counters.PacketsOut, &counters.BytesOut, &counters.Streams, &counters.StreamBytes, &counters.Updates,
		&counters.NewUpdates, &counters.Malformed, &counters.ForeignPackets, &counters.Overflow, &counters.Dials,
		&counters.DialsFailed, &counters.Direct, &counters.Suspicions, &counters.Refutations,
	} {
		counter.Store(int64(i + 1))
	}
}

// beforeMaxAge is a publication time so long ago that updates contain the maximum age. Their bytes then do not depend on
// the time at which the test runs.
const beforeMaxAge = -100 * 24 * time.Hour

// snapshotOf returns a snapshot with the records as members of that liveness, published at beforeMaxAge.
func snapshotOf(records []fleet.Record, liveness fleet.Liveness) *fleet.Snapshot {
	snapshot := &fleet.Snapshot{Self: "n1"}
	for i := range records {
		snapshot.Members = append(snapshot.Members, fleet.Member{
			Record: &records[i], Liveness: liveness, RecordedAt: beforeMaxAge,
		})
	}
	return snapshot
}

func goldenRecords() []fleet.Record {
	return []fleet.Record{
		{
			Name: "n2", Run: 8, Incarnation: 3, Seq: 4, Up: time.Minute,
			Addr: "10.0.0.2:7946", Region: "eu", Zone: "eu-a", Version: "1.2.3",
			Config: 9, State: fleet.Serving, Load: fleet.Load{Capacity: 4, Utilization: 0.5, InFlight: 3},
		},
		{Name: "n3", Run: 9, Seq: 1, State: fleet.Stopped, Load: fleet.Load{Utilization: -1}},
	}
}

// newGoldenFleet returns the membership from which the golden files of frames, settings and the page are made.
func newGoldenFleet(t *testing.T) *Fleet {
	t.Helper()
	return newTestFleet(t, Config{
		Process: fleet.ProcessInfo{
			Name: "n1", Addr: "10.0.0.1:7946", Region: "eu", Zone: "eu-a", Version: "1.2.3", Run: 0x1a2b,
		},
		Listen:        "10.0.0.1:7946",
		Limits:        fleet.Limits{Members: 10, ForgetAfter: time.Hour},
		ProbeInterval: time.Second,
		Size:          1,
	})
}

// newAloneFleet returns a membership that knows no other member. Each of its counters has a different value.
func newAloneFleet(t *testing.T) *Fleet {
	t.Helper()
	membership := newTestFleet(t, Config{
		Process: fleet.ProcessInfo{
			Name: "n3", Addr: "10.0.0.1:7946", Region: "belgium", Zone: "mechelen", Version: "1.2.3", Run: 7,
		},
		Digest:      0xabc,
		Limits:      fleet.Limits{Members: 4},
		Incarnation: 9,
	})
	setCounters(&membership.Counters)
	return membership
}

package server

import (
	"testing"

	"falldeal/internal/agent"
	"falldeal/internal/fleet"

	"github.com/stretchr/testify/require"
)

// told keeps the last word.
type told struct {
	last  fleet.Status
	words int
}

func (f *told) Tell(s fleet.Status)       { f.last, f.words = s, f.words+1 }
func (f *told) Snapshot() *fleet.Snapshot { return fleet.NewView("n3", fleet.Limits{}).Snapshot(0) }

// The fleet must hear of each change of state at once, and of what was turned away since the last word.
func TestFleetIsTold(t *testing.T) {
	s, do := idle(t)
	s.keepTelling()
	require.Zero(t, s.deadlines.Len(), "in no fleet nothing is told, and no timer set")
	f := &told{}
	s.Join(f)
	s.keepTelling()
	require.Equal(t, fleet.Starting, f.last.State)
	require.Equal(t, 1, s.deadlines.Len())
	s.synced = true
	s.agentNotice(agent.Notice{Kind: agent.Greeting, Result: agent.Booting, Elapsed: 0})
	require.Equal(t, fleet.Warming, f.last.State)
	require.EqualValues(t, 6, f.last.Load.Capacity)
	s.member.warmAt = s.clock.now
	s.count(0, Served)
	s.count(0, Refused)
	s.count(1, Failed)
	s.count(1, Served)
	s.deadlines.Sweep(s.clock.now + tellEvery)
	require.Equal(t, fleet.Serving, f.last.State)
	require.InDelta(t, 0.5, f.last.Load.Shed, 1e-9)
	s.tellFleet()
	require.Zero(t, f.last.Load.Shed)
	s.withdrawn = true
	s.tellFleet()
	require.Equal(t, fleet.Draining, f.last.State)
	s.withdrawn = false
	words := f.words
	s.Drain()
	do()
	require.Equal(t, fleet.Draining, f.last.State)
	require.Greater(t, f.words, words)
	require.False(t, f.last.Replaced)
}

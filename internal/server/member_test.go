package server

import (
	"fmt"
	"testing"
	"time"

	"falldeal/internal/agent"
	"falldeal/internal/fleet"
	"falldeal/internal/overload"

	"github.com/stretchr/testify/require"
)

// told keeps the last word.
type told struct {
	last  fleet.Status
	words int
	now   time.Duration
	hear  func([]byte)
	sent  []string
	view  *fleet.View
}

func (f *told) Publish(s fleet.Status)      { f.last, f.words = s, f.words+1 }
func (f *told) Snapshot() *fleet.Snapshot   { return f.view.Snapshot(f.now) }
func (f *told) Now() time.Duration          { return f.now }
func (f *told) OnMessage(hear func([]byte)) { f.hear = hear }
func (f *told) Send(to *fleet.Member, b []byte) {
	f.sent = append(f.sent, string(b))
}

// What is lent must not be used from the moment that the answer goes out, and a member that hears nothing of anybody must
// have what its settings give it.
func TestShareIsLent(t *testing.T) {
	s, do := idle(t)
	f := &told{view: fleet.NewView("n3", fleet.Limits{Members: 4})}
	f.view.Merge(0, 0, fleet.Record{Name: "n4", Run: 7, Seq: 1, State: fleet.Serving})
	f.view.ObserveReach(0, "n4", 7, fleet.Reached)
	s.JoinFleet(f)
	s.EnableQuotaLeasing(overload.ProcessID{Name: "n3", Run: 1}, 2*time.Second, 0.5)
	s.agentNotice(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	m := s.member.sharing
	turn := func(now time.Duration) overload.Quota {
		f.now = now
		s.keepSharing()
		return m.bound
	}
	require.Zero(t, turn(0), "calls of a predecessor may be at work")
	require.EqualValues(t, 2950, turn(time.Second), "and what it lent is out")
	require.EqualValues(t, 5900, turn(time.Minute))
	f.hear(overload.AppendMessage(nil, overload.Message{Kind: overload.LeaseRequest, From: overload.ProcessID{Name: "n4", Run: 7},
		To: overload.ProcessID{Name: "n3", Run: 1}, Number: 1, Amount: 1000}))
	f.hear([]byte("noise"))
	do()
	require.EqualValues(t, 4900, m.bound)
	require.Len(t, f.sent, 1)
	got, err := overload.ParseMessage([]byte(f.sent[0]))
	require.NoError(t, err)
	require.Equal(t, overload.LeaseGrant, got.Kind)
	require.EqualValues(t, 1000, got.Amount)
	require.EqualValues(t, 5900, turn(2*time.Minute))
	s.missedCall()
	turn(3 * time.Minute)
	require.Len(t, f.sent, 1, "n4 told of nothing to spare")
}

// The fleet must hear of each change of state at once, and of what was turned away since the last word.
func TestFleetIsTold(t *testing.T) {
	s, do := idle(t)
	s.keepTelling()
	require.Zero(t, s.deadlines.Len(), "in no fleet nothing is told, and no timer set")
	f := &told{view: fleet.NewView("n3", fleet.Limits{})}
	s.JoinFleet(f)
	s.keepTelling()
	require.Equal(t, fleet.Starting, f.last.State)
	require.Equal(t, 1, s.deadlines.Len())
	s.synced = true
	s.agentNotice(agent.Notification{Kind: agent.Handshake, Result: agent.Booting, Elapsed: 0})
	require.Equal(t, fleet.Warming, f.last.State)
	require.EqualValues(t, 6, f.last.Load.Capacity)
	s.member.warmAt = s.clock.now
	s.count(0, Served)
	s.count(0, Rejected)
	s.count(1, Failed)
	s.count(1, Served)
	s.deadlines.Sweep(s.clock.now + tellEvery)
	require.Equal(t, fleet.Serving, f.last.State)
	require.InDelta(t, 0.5, f.last.Load.ShedRatio, 1e-9)
	s.tellFleet()
	require.Zero(t, f.last.Load.ShedRatio)
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

// lastPeer keeps its last answer.
type lastPeer struct {
	peer
	a Answer
}

func (p *lastPeer) Answer(_ uint32, a Answer) { p.a = a }

// Requests must be put to the cutoff with their own worth and work, what a full fleet has no room for must be refused
// for good while cores are short, and others must be told what this server is asked for.
func TestRequestsArePutToTheCutoff(t *testing.T) {
	s, do := idle(t)
	f := &told{view: fleet.NewView("n3", fleet.Limits{Members: 4}), now: time.Second}
	f.view.Merge(f.now, 0, fleet.Record{Name: "n4", Run: 7, Seq: 1, State: fleet.Serving, Load: fleet.Load{Capacity: 30, ServiceRate: 100,
		Demand: string([]byte{40, 250, 250})}})
	f.view.ObserveReach(f.now, "n4", 7, fleet.Reached)
	s.JoinFleet(f)
	s.EnableShedding(overload.ProcessID{Name: "n3", Run: 1})
	s.agentNotice(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	s.keepCutoff()
	require.True(t, s.member.cutoff.Threshold().Full)
	var last *lastPeer
	for i := range 40 { // the first ones find free cores
		last = &lastPeer{}
		s.ConnectionOpened(last)
		s.Submit(last, 1, Attempt{ID: fmt.Sprint(i), Class: "preview", Subject: "k", Timeout: time.Second, ArrivedAt: s.clock.now, CostHint: 90 * time.Millisecond})
		do()
		s.turn()
	}
	require.Equal(t, Answer{Kind: Rejected, NoRetryElsewhere: true}, last.a)
	s.tellFleet()
	require.NotEmpty(t, f.last.Load.Demand)
	require.Positive(t, f.last.Load.ServiceRate)
	require.Positive(t, f.last.Load.Threshold)
	f.hear(overload.AppendReport(nil, overload.Report{Attempts: []uint64{1, 1, 2, 3, 4, 5}}))
	do()
	require.Positive(t, s.member.cutoff.RetryRatio())
}

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

// recordingFleet keeps the last word.
type recordingFleet struct {
	last         fleet.Status
	publications int
	now          time.Duration
	receive      func([]byte)
	sent         []string
	view         *fleet.View
}

func (f *recordingFleet) Publish(s fleet.Status)      { f.last, f.publications = s, f.publications+1 }
func (f *recordingFleet) Snapshot() *fleet.Snapshot   { return f.view.Snapshot(f.now) }
func (f *recordingFleet) Now() time.Duration          { return f.now }
func (f *recordingFleet) OnMessage(hear func([]byte)) { f.receive = hear }
func (f *recordingFleet) Send(to *fleet.Member, b []byte) {
	f.sent = append(f.sent, string(b))
}

// What is lent must not be used from the moment that the answer goes out, and a member that hears nothing of anybody must
// have what its settings give it.
func TestQuotaIsLeased(t *testing.T) {
	server, runPosted := newIdleServer(t)
	fakeFleet := &recordingFleet{view: fleet.NewView("n3", fleet.Limits{Members: 4})}
	fakeFleet.view.Merge(0, 0, fleet.Record{Name: "n4", Run: 7, Seq: 1, State: fleet.Serving})
	fakeFleet.view.ObserveReach(0, "n4", 7, fleet.Reached)
	server.JoinFleet(fakeFleet)
	server.EnableQuotaLeasing(overload.ProcessID{Name: "n3", Run: 1}, 2*time.Second, 0.5)
	server.handleAgentNotification(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	quota := server.member.quota
	tickAt := func(now time.Duration) overload.Quota {
		fakeFleet.now = now
		server.tickQuota()
		return quota.limit
	}
	require.Zero(t, tickAt(0), "calls of a predecessor may be at work")
	require.EqualValues(t, 2950, tickAt(time.Second), "and what it lent is out")
	require.EqualValues(t, 5900, tickAt(time.Minute))
	fakeFleet.receive(overload.AppendMessage(nil, overload.Message{Kind: overload.LeaseRequest, From: overload.ProcessID{Name: "n4", Run: 7},
		To: overload.ProcessID{Name: "n3", Run: 1}, Number: 1, Amount: 1000}))
	fakeFleet.receive([]byte("noise"))
	runPosted()
	require.EqualValues(t, 4900, quota.limit)
	require.Len(t, fakeFleet.sent, 1)
	got, err := overload.ParseMessage([]byte(fakeFleet.sent[0]))
	require.NoError(t, err)
	require.Equal(t, overload.LeaseGrant, got.Kind)
	require.EqualValues(t, 1000, got.Amount)
	require.EqualValues(t, 5900, tickAt(2*time.Minute))
	server.recordMissedCall()
	tickAt(3 * time.Minute)
	require.Len(t, fakeFleet.sent, 1, "n4 told of nothing to spare")
}

// The fleet must hear of each change of state at once, and of what was turned away since the last word.
func TestStatusIsPublished(t *testing.T) {
	server, runPosted := newIdleServer(t)
	server.publishPeriodically()
	require.Zero(t, server.deadlines.Len(), "in no fleet nothing is told, and no timer set")
	fakeFleet := &recordingFleet{view: fleet.NewView("n3", fleet.Limits{})}
	server.JoinFleet(fakeFleet)
	server.publishPeriodically()
	require.Equal(t, fleet.Starting, fakeFleet.last.State)
	require.Equal(t, 1, server.deadlines.Len())
	server.handover.synced = true
	server.handleAgentNotification(agent.Notification{Kind: agent.Handshake, Result: agent.Booting, Elapsed: 0})
	require.Equal(t, fleet.Warming, fakeFleet.last.State)
	require.EqualValues(t, 6, fakeFleet.last.Load.Capacity)
	server.member.warmAt = server.clock.now
	server.countAnswer(0, Served)
	server.countAnswer(0, Rejected)
	server.countAnswer(1, Failed)
	server.countAnswer(1, Served)
	server.deadlines.Sweep(server.clock.now + publishInterval)
	require.Equal(t, fleet.Serving, fakeFleet.last.State)
	require.InDelta(t, 0.5, fakeFleet.last.Load.ShedRatio, 1e-9)
	server.publishStatus()
	require.Zero(t, fakeFleet.last.Load.ShedRatio)
	server.health.deregistered = true
	server.publishStatus()
	require.Equal(t, fleet.Draining, fakeFleet.last.State)
	server.health.deregistered = false
	publications := fakeFleet.publications
	server.Drain()
	runPosted()
	require.Equal(t, fleet.Draining, fakeFleet.last.State)
	require.Greater(t, fakeFleet.publications, publications)
	require.False(t, fakeFleet.last.Replaced)
}

// lastAnswerConnection keeps its last answer.
type lastAnswerConnection struct {
	recordingConnection
	answer Answer
}

func (conn *lastAnswerConnection) Answer(_ uint32, a Answer) { conn.answer = a }

// Requests must be put to the cutoff with their own worth and work, what a full fleet has no room for must be refused
// for good while cores are short, and others must be told what this server is asked for.
func TestRequestsAreShed(t *testing.T) {
	server, runPosted := newIdleServer(t)
	fakeFleet := &recordingFleet{view: fleet.NewView("n3", fleet.Limits{Members: 4}), now: time.Second}
	fakeFleet.view.Merge(fakeFleet.now, 0, fleet.Record{Name: "n4", Run: 7, Seq: 1, State: fleet.Serving, Load: fleet.Load{Capacity: 30, ServiceRate: 100,
		Demand: string([]byte{40, 250, 250})}})
	fakeFleet.view.ObserveReach(fakeFleet.now, "n4", 7, fleet.Reached)
	server.JoinFleet(fakeFleet)
	server.EnableShedding(overload.ProcessID{Name: "n3", Run: 1})
	server.handleAgentNotification(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	server.tickShedding()
	require.True(t, server.member.shedding.shedder.Threshold().Full)
	var last *lastAnswerConnection
	for i := range 40 { // the first ones find free cores
		last = &lastAnswerConnection{}
		server.ConnectionOpened(last)
		server.Submit(last, 1, Attempt{ID: fmt.Sprint(i), Class: "preview", Subject: "k", Timeout: time.Second, ArrivedAt: server.clock.now, CostHint: 90 * time.Millisecond})
		runPosted()
		server.turn()
	}
	require.Equal(t, Answer{Kind: Rejected, NoRetryElsewhere: true}, last.answer)
	server.publishStatus()
	require.NotEmpty(t, fakeFleet.last.Load.Demand)
	require.Positive(t, fakeFleet.last.Load.ServiceRate)
	require.Positive(t, fakeFleet.last.Load.Threshold)
	fakeFleet.receive(overload.AppendReport(nil, overload.Report{Attempts: []uint64{1, 1, 2, 3, 4, 5}}))
	runPosted()
	require.Positive(t, server.member.shedding.retries.RetryRatio())
}

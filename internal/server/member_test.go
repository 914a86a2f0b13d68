package server

import (
	"testing"
	"time"

	"falldeal/internal/agent"
	"falldeal/internal/fleet"

	"github.com/stretchr/testify/require"
)

// recordingFleet is a Fleet that records the last status and the messages that were sent.
type recordingFleet struct {
	last         fleet.Status
	publications int
	now          time.Duration
	receive      func([]byte)
	sent         []string
	view         *fleet.View
}

func (f *recordingFleet) Publish(s fleet.Status)        { f.last, f.publications = s, f.publications+1 }
func (f *recordingFleet) Snapshot() *fleet.Snapshot     { return f.view.Snapshot(f.now) }
func (f *recordingFleet) Now() time.Duration            { return f.now }
func (f *recordingFleet) OnMessage(handle func([]byte)) { f.receive = handle }
func (f *recordingFleet) Send(to *fleet.Member, b []byte) {
	f.sent = append(f.sent, string(b))
}

// Each change of state must be published at once, with the fraction of requests not served since the last status.
func TestStatusIsPublished(t *testing.T) {
	server, handleInbox := newServerWithoutLoop(t)
	server.publishPeriodically()
	require.Zero(t, server.deadlines.Len(), "a server in no fleet publishes nothing and sets no timer")
	fakeFleet := &recordingFleet{view: fleet.NewView("n3", fleet.Limits{})}
	server.JoinFleet(fakeFleet)
	server.publishPeriodically()
	require.Equal(t, fleet.Starting, fakeFleet.last.State)
	require.Equal(t, 1, server.deadlines.Len())
	server.handover.synced = true
	server.handleAgentNotification(agent.Handshake{State: agent.Booting})
	require.Equal(t, fleet.Warming, fakeFleet.last.State)
	require.InDelta(t, 6, fakeFleet.last.Load.Capacity, 0)
	server.member.warmAt = server.clock.now
	server.countAnswer(0, Served)
	server.countAnswer(0, Rejected)
	server.countAnswer(1, Failed)
	server.countAnswer(1, Served)
	server.deadlines.Sweep(server.clock.now + publishInterval)
	require.Equal(t, fleet.Serving, fakeFleet.last.State)
	require.InDelta(t, 0.5, fakeFleet.last.Load.UnservedRatio, 1e-9)
	server.publishStatus()
	require.Zero(t, fakeFleet.last.Load.UnservedRatio)
	server.health.deregistered = true
	server.publishStatus()
	require.Equal(t, fleet.Draining, fakeFleet.last.State)
	server.health.deregistered = false
	publications := fakeFleet.publications
	server.Drain()
	handleInbox()
	require.Equal(t, fleet.Draining, fakeFleet.last.State)
	require.Greater(t, fakeFleet.publications, publications)
	require.False(t, fakeFleet.last.Replaced)
}

package server

import (
	"testing"
	"time"

	"falldeal/internal/agent"
	"falldeal/internal/fleet"
	"falldeal/internal/overload"

	"github.com/stretchr/testify/require"
)

// Quota that is leased out must not be used from the moment at which the grant is sent. A member that knows of no other
// member must have the quota of its settings.
func TestQuotaIsLeased(t *testing.T) {
	server, handleInbox := newServerWithoutLoop(t)
	fakeFleet := &recordingFleet{view: fleet.NewView("n3", fleet.Limits{Members: 4})}
	fakeFleet.view.Merge(0, 0, fleet.Record{Name: "n4", Run: 7, Seq: 1, State: fleet.Serving})
	fakeFleet.view.ObserveReach(0, "n4", 7, fleet.Reached)
	server.JoinFleet(fakeFleet)
	server.EnableQuotaLeasing(overload.ProcessID{Name: "n3", Run: 1}, 2*time.Second, 0.5)
	server.handleAgentNotification(agent.Handshake{State: agent.Steady})
	quota := server.member.quota
	tickAt := func(now time.Duration) overload.Quota {
		fakeFleet.now = now
		server.tickQuota()
		return quota.limit
	}
	require.Zero(t, tickAt(0), "calls of a predecessor may be in flight")
	require.EqualValues(t, 2950, tickAt(time.Second), "leases of a predecessor may be valid")
	require.EqualValues(t, 5900, tickAt(time.Minute))
	fakeFleet.receive(overload.AppendLeaseMessage(nil, overload.LeaseMessage{
		Kind:   overload.LeaseRequest,
		From:   overload.ProcessID{Name: "n4", Run: 7},
		To:     overload.ProcessID{Name: "n3", Run: 1},
		Number: 1,
		Amount: 1000,
	}))
	fakeFleet.receive([]byte("noise"))
	handleInbox()
	require.EqualValues(t, 4900, quota.limit)
	require.Len(t, fakeFleet.sent, 1)
	got, err := overload.ParseLeaseMessage([]byte(fakeFleet.sent[0]))
	require.NoError(t, err)
	require.Equal(t, overload.LeaseGrant, got.Kind)
	require.EqualValues(t, 1000, got.Amount)
	require.EqualValues(t, 5900, tickAt(2*time.Minute))
	server.recordMissedCall()
	tickAt(3 * time.Minute)
	require.Len(t, fakeFleet.sent, 1, "n4 has published no quota to spare")
}

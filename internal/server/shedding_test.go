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

// lastAnswerConnection records its last answer.
type lastAnswerConnection struct {
	recordingConnection
	answer Answer
}

func (c *lastAnswerConnection) Answer(_ uint32, a Answer) { c.answer = a }

// Requests must be classified by their own priority and work. While cores are short, those for which a full fleet has no
// capacity must be rejected without a retry elsewhere. The demand on this server must be published.
func TestRequestsAreShed(t *testing.T) {
	server, handleInbox := newServerWithoutLoop(t)
	fakeFleet := &recordingFleet{view: fleet.NewView("n3", fleet.Limits{Members: 4}), now: time.Second}
	fakeFleet.view.Merge(fakeFleet.now, 0, fleet.Record{
		Name:  "n4",
		Run:   7,
		Seq:   1,
		State: fleet.Serving,
		Load:  fleet.Load{Capacity: 30, ServiceRate: 100, Demand: string([]byte{40, 250, 250})},
	})
	fakeFleet.view.ObserveReach(fakeFleet.now, "n4", 7, fleet.Reached)
	server.JoinFleet(fakeFleet)
	server.EnableShedding(overload.ProcessID{Name: "n3", Run: 1})
	server.handleAgentNotification(agent.Handshake{State: agent.Steady})
	server.tickShedding()
	require.True(t, server.member.shedding.shedder.State().Full)
	var last *lastAnswerConnection
	for i := range 40 { // the first requests find free cores
		last = &lastAnswerConnection{}
		server.ConnectionOpened(last)
		server.Submit(last, 1, Attempt{
			ID:        fmt.Sprint(i),
			Class:     "preview",
			Subject:   "k",
			Timeout:   time.Second,
			ArrivedAt: server.clock.now,
			CostHint:  90 * time.Millisecond,
		})
		handleInbox()
		server.turn()
	}
	require.Equal(t, Answer{Kind: Rejected, NoRetryElsewhere: true}, last.answer)
	server.publishStatus()
	require.NotEmpty(t, fakeFleet.last.Load.Demand)
	require.Positive(t, fakeFleet.last.Load.ServiceRate)
	require.Positive(t, fakeFleet.last.Load.Threshold)
	fakeFleet.receive(overload.AppendAttemptReport(nil, overload.AttemptReport{Attempts: []uint64{1, 1, 2, 3, 4, 5}}))
	handleInbox()
	require.Positive(t, server.member.shedding.retries.RetryRatio())
}

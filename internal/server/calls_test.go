package server

import (
	"testing"

	"falldeal/internal/agent"

	"github.com/stretchr/testify/require"
)

// Guards against a run that waits for a lost reply until its deadline, and against a request that fails although its run has
// continued: an unacknowledged reply fails its request at the latency objective, unless the run has come to its next call or has
// ended.
func TestUnacknowledgedReplyFailsAtObjective(t *testing.T) {
	for progress, want := range map[string][]any{"none": {Failed}, "next call": nil, "outcome": {Served}} {
		t.Run(progress, func(t *testing.T) {
			server, conn, handleInbox := newReadyServer(t)
			server.Submit(conn, 1, attemptWithKey(server, "a", "k"))
			handleInbox()
			server.step()
			request := server.requests.byAttemptID["a"]
			server.handleAgentNotification(agent.CallRequest{RequestID: "a", Offset: 7})
			server.handleReplyUnacknowledged("a")
			objective := server.clock.now + server.config.Settings.Classes[request.class].LatencyObjective
			server.clock.now = objective - 1
			server.deadlines.Sweep(server.clock.now)
			require.Empty(t, conn.recorded)
			switch progress {
			case "next call":
				server.handleAgentNotification(agent.CallRequest{RequestID: "a", Offset: 8})
			case "outcome":
				server.handleAgentNotification(agent.RunOutcome{RequestID: "a", Offset: 8, Result: agent.RunSucceeded})
			}
			server.clock.now = objective
			server.deadlines.Sweep(server.clock.now)
			require.Equal(t, want, conn.recorded)
			if progress == "none" { // the run may still continue, and counts until it ends
				require.True(t, server.requests.contains(request))
				server.step()
				server.handleAgentNotification(agent.RunOutcome{RequestID: "a", Offset: 8, Result: agent.RunInterrupted})
				server.step()
				require.False(t, server.requests.contains(request))
				require.Equal(t, want, conn.recorded)
			}
		})
	}
}

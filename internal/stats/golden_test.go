package stats

import (
	"bytes"
	"testing"

	"falldeal/lab/golden"

	"github.com/sirupsen/logrus"
)

// Operators' tools read the line that SIGUSR1 and the end of a process log. Each counter must have its own field, whose name
// must not change.
func TestGoldenLog(t *testing.T) {
	counters := Counters{
		Connections: 1, ConnectionsClosed: 2, ReadTimeouts: 3, MalformedInputs: 4,
		Requests: 5, Retries: 6, Invalid: 7, Cancelled: 8, HealthChecks: 9,
		Runs: 10, Calls: 11, CallsAbandoned: 12, CallsSkipped: 13, DeepChecks: 14,
		Responses: map[string]*ResponseCounts{
			"preview":    {Served: 100, Rejected: 200, Failed: 300},
			"hires-crop": {Served: 15, Rejected: 16, Failed: 17},
		},
		ResultsReused: 18, RunsFailed: 19, RunsInterrupted: 20, RunsNotStarted: 21, CommandsRejected: 22,
		CallsOK: 23, CallsRejected: 24, CallsFailed: 25, CallsTimedOut: 26, CallsUnreachable: 27, CallsAborted: 28,
		AgentConnections: 29, StoreConnections: 30, Reloads: 31, ReloadsFailed: 32, Claims: 33, ClaimsTimedOut: 34,
		LoopIterations: 35, RepliesUnacknowledged: 40, KeysUndecided: 44,
	}
	var got bytes.Buffer
	log := logrus.New()
	log.SetOutput(&got)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, DisableTimestamp: true})
	counters.Log(log, Gauges{ActiveRequests: 36, RunningRequests: 37, IdempotencyKeys: 38, Connections: 39,
		Processes: 41, RetainedKB: 42, CallUnits: 43, Tables: testTables})
	new(Counters).Log(log, Gauges{})
	golden.RequireText(t, "print", got.String())
}

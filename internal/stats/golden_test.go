package stats

import (
	"bytes"
	"testing"

	"falldeal/lab/golden"

	"github.com/sirupsen/logrus"
)

// The line that SIGUSR1 and the end of a process print: all names of counters, each with its own value.
func TestGoldenPrint(t *testing.T) {
	counters := Counters{
		Connections: 1, ConnectionsClosed: 2, ReadTimeouts: 3, MalformedInputs: 4,
		Requests: 5, Retries: 6, Invalid: 7, Cancelled: 8, HealthChecks: 9,
		Runs: 10, Calls: 11, CallsDropped: 12, Skips: 13, DeepChecks: 14,
		Answers: map[string]*Answers{
			"preview":    {Served: 100, Rejected: 200, Failed: 300},
			"hires-crop": {Served: 15, Rejected: 16, Failed: 17},
		},
		Reused: 18, RunsFailed: 19, RunsInterrupted: 20, RunsNotStarted: 21, CommandsRejected: 22,
		CallsOK: 23, CallsBusy: 24, CallsFailed: 25, CallsLate: 26, CallsUnreachable: 27, CallsBroken: 28,
		AgentLinks: 29, StoreLinks: 30, Reloads: 31, ReloadsFailed: 32, Claims: 33, ClaimsLate: 34, Turns: 35,
	}
	var got bytes.Buffer
	log := logrus.New()
	log.SetOutput(&got)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, DisableTimestamp: true})
	counters.Print(log, 36, 37, 38, 39)
	new(Counters).Print(log, 0, 0, 0, 0)
	golden.RequireText(t, "print", got.String())
}

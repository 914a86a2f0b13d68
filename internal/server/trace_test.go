package server

import (
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"
	"falldeal/internal/store"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// A request can be followed by its ID: each image server that had an attempt of it logs how it ended and where the time
// went, once; also for one whose caller has gone. Nothing is logged at other levels.
func TestRequestTrace(t *testing.T) {
	server, runPosted := newIdleServer(t)
	log, hook := test.NewNullLogger()
	log.SetLevel(logrus.DebugLevel)
	server.log, server.traceRequests = log, debugEnabled(log)
	require.True(t, server.traceRequests)
	startAgent(server)
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	submit := func(call uint32, id, class string) *activeRequest {
		attempt := newAttempt(server, id, class)
		attempt.IdempotencyKey, attempt.Timeout = id, 2*time.Second
		attempt.ArrivedAt -= 5 * time.Millisecond
		server.Submit(conn, call, attempt)
		runPosted()
		server.step()
		return server.requests.byAttemptID[id]
	}
	lines := func() (got []logrus.Fields) {
		for _, e := range hook.AllEntries() {
			if e.Message == "request" {
				got = append(got, e.Data)
			}
		}
		hook.Reset()
		return got
	}
	served := submit(1, "aa", "licence-order")
	server.handleCallRequest(agent.CallRequest{RequestID: "aa", Payload: []byte("x")})
	server.step()
	server.clock.now += 20 * time.Millisecond
	server.handleCallEnded("aa", store.OK, nil)
	server.clock.now += 10 * time.Millisecond
	server.completeRun(served, admission.OutcomeOK, nil)
	server.cancel(served)
	require.Equal(t, []logrus.Fields{{
		"id":         "aa",
		"class":      "licence-order",
		"from":       0,
		"end":        "served",
		"after_ms":   int64(35),
		"wait_ms":    int64(2000),
		"cost_ms":    int64(0),
		"once":       "aa",
		"held_ms":    int64(5),
		"run_ms":     int64(30),
		"calls":      1,
		"in_call_ms": int64(20),
		"call":       "ok",
	}}, lines())

	rejected := submit(2, "bb", "preview")
	server.reject(rejected, admission.Action{Reason: admission.ReasonMemory})
	got := lines()
	require.Len(t, got, 1)
	require.Equal(t, "refused", got[0]["end"])
	require.Equal(t, "memory full", got[0]["why"])

	submit(3, "cc", "preview")
	server.ReadEnded(conn, Disconnected)
	runPosted()
	got = lines()
	require.Len(t, got, 1)
	require.Equal(t, "gone", got[0]["end"])

	infoLog, _ := test.NewNullLogger()
	require.False(t, debugEnabled(infoLog))
}

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

// So that a request can be followed by its ID, each image server that had an attempt must log once how the attempt ended
// and where its time went, even if the client has gone. Nothing may be logged at other levels.
func TestRequestIsTracedOnce(t *testing.T) {
	server, handleInbox := newServerWithoutLoop(t)
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
		handleInbox()
		server.step()
		return server.requests.byAttemptID[id]
	}
	lines := func() (got []logrus.Fields) {
		for _, e := range hook.AllEntries() {
			if e.Message == "request finished" {
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
		"request_id":        "aa",
		"class":             "licence-order",
		"client":            0,
		"outcome":           "served",
		"elapsed_ms":        int64(35),
		"timeout_ms":        int64(2000),
		"cost_hint_ms":      int64(0),
		"idempotency_key":   "aa",
		"queued_ms":         int64(5),
		"run_ms":            int64(30),
		"calls":             1,
		"call_ms":           int64(20),
		"last_call_outcome": "ok",
	}}, lines())

	rejected := submit(2, "bb", "preview")
	server.reject(rejected, admission.Rejection{Reason: admission.ReasonMemory})
	got := lines()
	require.Len(t, got, 1)
	require.Equal(t, "rejected", got[0]["outcome"])
	require.Equal(t, admission.ReasonMemory.String(), got[0]["reason"])

	submit(3, "cc", "preview")
	server.ReadEnded(conn, Disconnected)
	handleInbox()
	got = lines()
	require.Len(t, got, 1)
	require.Equal(t, "cancelled", got[0]["outcome"])

	infoLog, _ := test.NewNullLogger()
	require.False(t, debugEnabled(infoLog))
}

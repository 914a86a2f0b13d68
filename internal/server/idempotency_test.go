package server

import (
	"fmt"
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/internal/handover"

	"github.com/stretchr/testify/require"
)

// requestWithKey returns a request with the idempotency key "k" that arrived at that time.
func requestWithKey(id int, at time.Duration) *activeRequest {
	return &activeRequest{
		id:                admission.RequestID(id),
		attempt:           Attempt{IdempotencyKey: "k", ArrivedAt: at},
		idempotencyWindow: time.Minute,
	}
}

// The entry passes from attempt to attempt while none was run; from a run on it is that of the run for the whole
// window, counted from the arrival of the attempt that was run.
func TestIdempotencyWindow(t *testing.T) {
	keys := newIdempotencyTable(64)
	first, second, third := requestWithKey(1, 0), requestWithKey(2, time.Second), requestWithKey(3, 2*time.Second)
	require.Zero(t, keys.register(first))
	require.Equal(t, first.id, keys.register(second))
	require.Nil(t, keys.release(first)) // rejected: second takes its place
	keys.retain(second)
	require.Equal(t, second.id, keys.register(third))
	require.True(t, keys.mayRun(second))
	keys.markRunning(second)
	require.False(t, keys.mayRun(third))
	_, ended := keys.awaitResult(third)
	require.False(t, ended)
	require.Equal(t, []*activeRequest{third}, keys.runEnded(second, admission.OutcomeOK, []byte("x")))
	entry := keys.release(second)
	require.Equal(t, runResult{ok: true, body: []byte("x")}, entry.reusableResult())
	require.Equal(t, 61*time.Second, entry.windowEnd)
	require.Nil(t, keys.release(third))

	inside, past := requestWithKey(4, 61*time.Second), requestWithKey(5, 62*time.Second)
	require.Equal(t, second.id, keys.register(inside))
	result, ended := keys.awaitResult(inside)
	require.True(t, ended)
	require.Equal(t, runResult{ok: true, body: []byte("x")}, result)
	require.Zero(t, keys.register(past))
	keys.drop(entry) // its window ends while the newer entry stands
	require.Equal(t, 1, keys.size())
	require.Zero(t, keys.resultBytes)
}

// A retry of an attempt that ended without a run must not wait for it, and what the agent never began may be run by a
// later attempt.
func TestIdempotencyKeyWithoutRun(t *testing.T) {
	keys := newIdempotencyTable(64)
	first, second := requestWithKey(1, 0), requestWithKey(2, 0)
	keys.register(first)
	keys.register(second)
	keys.release(first)
	result, ended := keys.awaitResult(second)
	require.True(t, ended)
	require.False(t, result.ok)
	keys.release(second)
	third := requestWithKey(3, 0)
	require.Zero(t, keys.register(third))
	keys.markRunning(third)
	keys.runEnded(third, admission.OutcomeNotStarted, nil)
	require.Nil(t, keys.release(third))
	require.Zero(t, keys.register(requestWithKey(4, 0)))
}

// Results are dropped before they fill the memory; the record of the run stays.
func TestIdempotencyResultMemory(t *testing.T) {
	keys := newIdempotencyTable(64)
	keys.resultBytes = keys.maxResultBytes
	first, second := requestWithKey(1, 0), requestWithKey(2, 0)
	keys.register(first)
	keys.markRunning(first)
	keys.runEnded(first, admission.OutcomeOK, []byte("x"))
	require.Equal(t, first.id, keys.register(second))
	result, ended := keys.awaitResult(second)
	require.True(t, ended)
	require.False(t, result.ok)
	require.False(t, keys.mayRun(second))
}

// A result that another process reports twice counts once.
func TestResultReportedTwice(t *testing.T) {
	keys := newIdempotencyTable(64)
	entry := keys.adopt(nil, handover.KeyKnown{IdempotencyKey: "k"}, 1)
	for range 2 {
		keys.complete(entry, runResult{ok: true, body: []byte("abc")})
		require.Equal(t, 3, keys.resultBytes)
	}
	keys.complete(entry, runResult{})
	require.Zero(t, keys.resultBytes)
	require.False(t, entry.reusableResult().ok)
}

// Whoever learns the key of a request must not get its result, nor a run under that key, by sending another body.
func TestIdempotencyKeyWithAnotherBody(t *testing.T) {
	server, runPosted := newIdleServer(t)
	startAgent(server)
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	submit := func(call uint32, body string) {
		attempt := attemptWithKey(server, string(rune('a'+call)), "k")
		attempt.Timeout, attempt.Body = time.Second, []byte(body)
		server.Submit(conn, call, attempt)
		runPosted()
	}
	submit(1, "order")
	submit(2, "another")
	require.Equal(t, []any{Invalid}, conn.recorded)
	server.step()
	r := server.requests.byAttemptID["b"]
	require.True(t, r.running())
	server.completeRun(r, admission.OutcomeOK, []byte("result"))
	submit(3, "another")
	require.Equal(t, []any{Invalid, Served, Invalid}, conn.recorded)
	submit(4, "order")
	server.step()
	require.Equal(t, []any{Invalid, Served, Invalid, Served}, conn.recorded)
	require.EqualValues(t, 1, server.stats.Runs)
}

// BenchmarkKeys is the life of a key in a table of that size: registered, run, completed, retried, dropped.
func BenchmarkKeys(b *testing.B) {
	for _, size := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			table := newIdempotencyTable(192)
			runLifecycle := func(i int, drop bool) {
				request := &activeRequest{
					id:                admission.RequestID(i + 1),
					attempt:           Attempt{IdempotencyKey: fmt.Sprintf("%032x", i), Body: make([]byte, 256)},
					idempotencyWindow: time.Hour,
				}
				table.register(request)
				table.markRunning(request)
				table.runEnded(request, admission.OutcomeOK, nil)
				retry := &activeRequest{id: request.id + 1<<32, attempt: request.attempt}
				table.register(retry)
				table.release(retry)
				if e := table.release(request); drop {
					table.drop(e)
				}
			}
			for i := range size {
				runLifecycle(i, false)
			}
			b.ReportAllocs()
			for i := size; b.Loop(); i++ {
				runLifecycle(i, true)
			}
		})
	}
}

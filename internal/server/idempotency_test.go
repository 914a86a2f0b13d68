package server

import (
	"fmt"
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/internal/handover"

	"github.com/stretchr/testify/require"
)

// requestWithKey returns a request with the idempotency key "k" that arrived at the given time.
func requestWithKey(id int, at time.Duration) *activeRequest {
	return &activeRequest{
		id:                admission.RequestID(id),
		attempt:           Attempt{IdempotencyKey: "k", ArrivedAt: at},
		idempotencyWindow: time.Minute,
	}
}

// While no attempt was run, the entry must pass from attempt to attempt. After a run, it must belong to that run for the
// whole window, which starts at the arrival of the attempt that was run.
func TestIdempotencyWindow(t *testing.T) {
	keys := newIdempotencyTable(maxResultBytes(64, 1))
	first, second, third := requestWithKey(1, 0), requestWithKey(2, time.Second), requestWithKey(3, 2*time.Second)
	require.Zero(t, keys.register(first))
	require.Equal(t, first.id, keys.register(second))
	require.Nil(t, keys.release(first)) // rejected, so second becomes the holder
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
	keys.drop(entry) // must not drop the newer entry of the same key
	require.Equal(t, 1, keys.size())
	require.Zero(t, keys.resultBytes)
}

// A retry must not wait for an attempt that ended without a run, and a request that the agent did not start may be run by a
// later attempt.
func TestIdempotencyKeyWithoutRun(t *testing.T) {
	keys := newIdempotencyTable(maxResultBytes(64, 1))
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

// When the memory for results is used up, a result must not be retained, but its request must still not run again.
func TestIdempotencyResultMemory(t *testing.T) {
	keys := newIdempotencyTable(maxResultBytes(64, 1))
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

// A result that another process reports twice must be counted once.
func TestResultReportedTwiceIsCountedOnce(t *testing.T) {
	keys := newIdempotencyTable(maxResultBytes(64, 1))
	entry := keys.adopt(nil, handover.KeyKnown{IdempotencyKey: "k"}, 1)
	for range 2 {
		keys.complete(entry, runResult{ok: true, body: []byte("abc")})
		require.Equal(t, 3, keys.resultBytes)
	}
	keys.complete(entry, runResult{})
	require.Zero(t, keys.resultBytes)
	require.False(t, entry.reusableResult().ok)
}

// A client that knows the key of another request must not get its result, or a run with that key, by sending another body.
func TestIdempotencyKeyWithAnotherBody(t *testing.T) {
	server, handleInbox := newServerWithoutLoop(t)
	startAgent(server)
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	submit := func(call uint32, body string) {
		attempt := attemptWithKey(server, string(rune('a'+call)), "k")
		attempt.Timeout, attempt.Body = time.Second, []byte(body)
		server.Submit(conn, call, attempt)
		handleInbox()
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

// BenchmarkKeys runs the life cycle of a key in a table with size other keys: register, run, complete, retry, drop.
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

// A client that sends retries of a request that runs, and cancels them at once, must not make the list of those that wait for
// its result grow with its rate. Those that had ended were kept until the run ended.
func TestEndedAttemptsDoNotWaitForResult(t *testing.T) {
	keys := newIdempotencyTable(maxResultBytes(64, 1))
	running, waiting := requestWithKey(1, 0), requestWithKey(2, 0)
	keys.register(running)
	keys.markRunning(running)
	keys.register(waiting)
	_, ended := keys.awaitResult(waiting)
	require.False(t, ended)
	for id := 3; id < 1000; id++ {
		cancelled := requestWithKey(id, 0)
		keys.register(cancelled)
		_, ended := keys.awaitResult(cancelled)
		require.False(t, ended)
		keys.release(cancelled)
		require.Len(t, keys.entries["k"].waiters, 1)
	}
	require.Equal(t, []*activeRequest{waiting}, keys.runEnded(running, admission.OutcomeOK, nil))
}

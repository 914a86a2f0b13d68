package server

import (
	"fmt"
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"

	"github.com/stretchr/testify/require"
)

func keyedRequest(id int, at time.Duration) *activeRequest {
	return &activeRequest{id: admission.RequestID(id), attempt: Attempt{IdempotencyKey: "k", ArrivedAt: at}, idempotencyWindow: time.Minute}
}

// The entry passes on while no try has run; from a run on it is that run's for the whole window,
// counted from when that try came.
func TestIdempotencyWindow(t *testing.T) {
	keys := newIdempotencyTable(64)
	first, second, third := keyedRequest(1, 0), keyedRequest(2, time.Second), keyedRequest(3, 2*time.Second)
	require.Zero(t, keys.register(first))
	require.Equal(t, first.id, keys.register(second))
	require.Nil(t, keys.release(first)) // refused: b takes its place
	keys.retain(second)
	require.Equal(t, second.id, keys.register(third))
	require.True(t, keys.mayRun(second))
	keys.markRunning(second)
	require.False(t, keys.mayRun(third))
	_, _, over := keys.awaitResult(third)
	require.False(t, over)
	require.Equal(t, []*activeRequest{third}, keys.runEnded(second, admission.OutcomeOK, []byte("x")))
	entry := keys.release(second)
	require.Equal(t, []byte("x"), entry.result)
	require.Equal(t, 61*time.Second, entry.windowEnd)
	require.Nil(t, keys.release(third))

	inside, past := keyedRequest(4, 61*time.Second), keyedRequest(5, 62*time.Second)
	require.Equal(t, second.id, keys.register(inside))
	result, ok, over := keys.awaitResult(inside)
	require.Equal(t, "x true true", string(result)+" "+map[bool]string{true: "true"}[ok]+" "+map[bool]string{true: "true"}[over])
	require.Zero(t, keys.register(past))
	keys.drop(entry) // its time comes while the newer entry stands
	require.Equal(t, 1, keys.size())
	require.Zero(t, keys.resultBytes)
}

// A repeat of a try that went without a run must not wait for it for ever, and what the agent never
// began may be run by a later try.
func TestIdempotencyKeyWithoutRun(t *testing.T) {
	keys := newIdempotencyTable(64)
	first, second := keyedRequest(1, 0), keyedRequest(2, 0)
	keys.register(first)
	keys.register(second)
	keys.release(first)
	_, ok, over := keys.awaitResult(second)
	require.True(t, over)
	require.False(t, ok)
	keys.release(second)
	third := keyedRequest(3, 0)
	require.Zero(t, keys.register(third))
	keys.markRunning(third)
	keys.runEnded(third, admission.OutcomeNotStarted, nil)
	require.Nil(t, keys.release(third))
	require.Zero(t, keys.register(keyedRequest(4, 0)))
}

// Results are dropped before they fill the memory; the record of the run stays.
func TestIdempotencyResultMemory(t *testing.T) {
	keys := newIdempotencyTable(64)
	keys.resultBytes = keys.maxResultBytes
	first, second := keyedRequest(1, 0), keyedRequest(2, 0)
	keys.register(first)
	keys.markRunning(first)
	keys.runEnded(first, admission.OutcomeOK, []byte("x"))
	require.Equal(t, first.id, keys.register(second))
	_, ok, over := keys.awaitResult(second)
	require.True(t, over)
	require.False(t, ok)
	require.False(t, keys.mayRun(second))
}

// Whoever learns the key of a request must not get its result, nor a run under that key, by sending
// something else with it.
func TestIdempotencyKeyWithAnotherBody(t *testing.T) {
	server, runPosted := newIdleServer(t)
	server.handleHandshake(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	submit := func(call uint32, body string) {
		server.Submit(conn, call, Attempt{ID: string(rune('a' + call)), IdempotencyKey: "k", Class: "licence-order", ArrivedAt: server.clock.now,
			Timeout: time.Second, MemoryKB: 1, Body: []byte(body)})
		runPosted()
	}
	submit(1, "order")
	submit(2, "another")
	require.Equal(t, []any{Invalid}, conn.received)
	server.step()
	r := server.requests.byAttemptID["b"]
	require.True(t, r.running())
	server.completeRun(r, admission.OutcomeOK, []byte("result"))
	submit(3, "another")
	require.Equal(t, []any{Invalid, Served, Invalid}, conn.received)
	submit(4, "order")
	server.step()
	require.Equal(t, []any{Invalid, Served, Invalid, Served}, conn.received)
	require.EqualValues(t, 1, server.stats.Runs)
}

// BenchmarkKeys is the life of a key in a table of so many: taken, run, ended, found again, dropped.
func BenchmarkKeys(b *testing.B) {
	for _, size := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			table := newIdempotencyTable(192)
			runLifecycle := func(i int, drop bool) {
				request := &activeRequest{id: admission.RequestID(i + 1), attempt: Attempt{IdempotencyKey: fmt.Sprintf("%032x", i), Body: make([]byte, 256)}, idempotencyWindow: time.Hour}
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

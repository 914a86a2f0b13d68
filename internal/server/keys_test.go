package server

import (
	"fmt"
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"

	"github.com/stretchr/testify/require"
)

func keyed(id int, at time.Duration) *request {
	return &request{id: admission.RequestID(id), try: Attempt{IdempotencyKey: "k", ArrivedAt: at}, window: time.Minute}
}

// The entry passes on while no try has run; from a run on it is that run's for the whole window,
// counted from when that try came.
func TestKeyWindow(t *testing.T) {
	keys := newKeyTable(64)
	a, b, c := keyed(1, 0), keyed(2, time.Second), keyed(3, 2*time.Second)
	require.Zero(t, keys.take(a))
	require.Equal(t, a.id, keys.take(b))
	require.Nil(t, keys.left(a)) // refused: b takes its place
	keys.keep(b)
	require.Equal(t, b.id, keys.take(c))
	require.True(t, keys.mayRun(b))
	keys.ran(b)
	require.False(t, keys.mayRun(c))
	_, _, over := keys.join(c)
	require.False(t, over)
	require.Equal(t, []*request{c}, keys.ended(b, admission.OutcomeOK, []byte("x")))
	e := keys.left(b)
	require.Equal(t, []byte("x"), e.result)
	require.Equal(t, 61*time.Second, e.closes)
	require.Nil(t, keys.left(c))

	inside, past := keyed(4, 61*time.Second), keyed(5, 62*time.Second)
	require.Equal(t, b.id, keys.take(inside))
	result, ok, over := keys.join(inside)
	require.Equal(t, "x true true", string(result)+" "+map[bool]string{true: "true"}[ok]+" "+map[bool]string{true: "true"}[over])
	require.Zero(t, keys.take(past))
	keys.drop(e) // its time comes while the newer entry stands
	require.Equal(t, 1, keys.size())
	require.Zero(t, keys.bytes)
}

// A repeat of a try that went without a run must not wait for it for ever, and what the agent never
// began may be run by a later try.
func TestKeyWithoutRun(t *testing.T) {
	keys := newKeyTable(64)
	a, b := keyed(1, 0), keyed(2, 0)
	keys.take(a)
	keys.take(b)
	keys.left(a)
	_, ok, over := keys.join(b)
	require.True(t, over)
	require.False(t, ok)
	keys.left(b)
	c := keyed(3, 0)
	require.Zero(t, keys.take(c))
	keys.ran(c)
	keys.ended(c, admission.OutcomeNotStarted, nil)
	require.Nil(t, keys.left(c))
	require.Zero(t, keys.take(keyed(4, 0)))
}

// Results are dropped before they fill the memory; the record of the run stays.
func TestKeyMemory(t *testing.T) {
	keys := newKeyTable(64)
	keys.bytes = keys.most
	a, b := keyed(1, 0), keyed(2, 0)
	keys.take(a)
	keys.ran(a)
	keys.ended(a, admission.OutcomeOK, []byte("x"))
	require.Equal(t, a.id, keys.take(b))
	_, ok, over := keys.join(b)
	require.True(t, over)
	require.False(t, ok)
	require.False(t, keys.mayRun(b))
}

// Whoever learns the key of a request must not get its result, nor a run under that key, by sending
// something else with it.
func TestKeyWithAnotherBody(t *testing.T) {
	s, do := idle(t)
	s.greeted(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	p := &peer{}
	s.ConnectionOpened(p)
	submit := func(call uint32, body string) {
		s.Submit(p, call, Attempt{ID: string(rune('a' + call)), IdempotencyKey: "k", Class: "licence-order", ArrivedAt: s.clock.now,
			Timeout: time.Second, MemoryKB: 1, Body: []byte(body)})
		do()
	}
	submit(1, "order")
	submit(2, "another")
	require.Equal(t, []any{Invalid}, p.got)
	s.step()
	r := s.byWire["b"]
	require.True(t, r.running)
	s.finish(r, admission.OutcomeOK, []byte("result"))
	submit(3, "another")
	require.Equal(t, []any{Invalid, Served, Invalid}, p.got)
	submit(4, "order")
	s.step()
	require.Equal(t, []any{Invalid, Served, Invalid, Served}, p.got)
	require.EqualValues(t, 1, s.stats.Runs)
}

// BenchmarkKeys is the life of a key in a table of so many: taken, run, ended, found again, dropped.
func BenchmarkKeys(b *testing.B) {
	for _, size := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			table := newKeyTable(192)
			life := func(i int, drop bool) {
				r := &request{id: admission.RequestID(i + 1), try: Attempt{IdempotencyKey: fmt.Sprintf("%032x", i), Body: make([]byte, 256)}, window: time.Hour}
				table.take(r)
				table.ran(r)
				table.ended(r, admission.OutcomeOK, nil)
				again := &request{id: r.id + 1<<32, try: r.try}
				table.take(again)
				table.left(again)
				if e := table.left(r); drop {
					table.drop(e)
				}
			}
			for i := range size {
				life(i, false)
			}
			b.ReportAllocs()
			for i := size; b.Loop(); i++ {
				life(i, true)
			}
		})
	}
}

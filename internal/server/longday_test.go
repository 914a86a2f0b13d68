package server

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"falldeal/internal/agent"

	"github.com/stretchr/testify/require"
)

// day is a server whose clock is the test's.
type day struct {
	*Server
	at  time.Time
	rng *rand.Rand
	n   int
	run []*request // that the agent works on
}

func newDay(t testing.TB) *day {
	s, _ := idle(t)
	d := &day{Server: s, at: time.Now().Round(0), rng: rand.New(rand.NewPCG(3, 3))}
	s.clock.read = func() time.Time { return d.at }
	s.clock.advance()
	s.greeted(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	return d
}

// pass lets time go by: what falls due is done, and the gauges are those of a calm machine.
func (d *day) pass(by time.Duration) {
	d.at = d.at.Add(by)
	d.sampled([]float64{0.3, 1, 0.1, 20})
	d.turn()
	for len(d.events) > 0 {
		d.turn()
	}
}

// ask sends a request that has never been seen: new id, key, order, front end and connection.
func (d *day) ask() {
	d.n++
	p := &countingPeer{server: d.Server}
	id := fmt.Sprintf("%016x", d.n)
	try := Attempt{ID: id, Subject: id, Class: d.cfg.Classes[d.rng.IntN(3)], ArrivedAt: time.Duration(d.at.UnixNano()), Timeout: 2 * time.Second,
		Client: d.n, CostHint: 10 * time.Millisecond, MemoryKB: 4, Rank: 0.5, Body: make([]byte, 200)}
	if try.Class == "licence-order" {
		try.IdempotencyKey = id
	}
	d.ConnectionOpened(p)
	d.Submit(p, 1, try)
	switch d.rng.IntN(10) {
	case 0:
		d.RejectInvalid(p, 2, errAt)
	case 1:
		d.HealthCheck(p, 2, true)
	case 2:
		d.Cancel(p, 1)
	}
	d.turn()
	if r := d.byWire[id]; r != nil {
		d.run = append(d.run, r)
	}
	if d.rng.IntN(2) == 0 {
		d.ReadEnded(p, Disconnected)
	}
}

// work ends what the agent works on, in one of the ways that it may; some of it asks for a call first, which the
// store, whom nobody reaches here, never answers.
func (d *day) work() {
	for _, r := range d.run {
		n := agent.Notification{RequestID: r.try.ID, Result: agent.Success, Payload: make([]byte, 100)}
		switch d.rng.IntN(8) {
		case 0:
			n.Result = agent.Failure
		case 1:
			n.Result = agent.Interrupted
		case 2:
			d.wantsCall(agent.Notification{RequestID: r.try.ID, Payload: []byte("call")})
			d.turn()
		}
		d.runEnded(n)
		d.turn()
	}
	d.run = d.run[:0]
}

// live is the memory in use once all garbage has gone.
func live() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// 45 minutes in which nothing comes twice: ids, keys, orders, front ends and connections are ever new. Each table
// has an end, and the memory of the last quarter is that of the second. A leak of eight bytes a request would
// come to over 100 MemoryKB.
func TestLongDay(t *testing.T) {
	const length, step = 45 * time.Minute, 100 * time.Millisecond
	d := newDay(t)
	var halfway, most uint64
	largest := map[string]int{}
	for at := time.Duration(0); at < length; at += step {
		d.ask()
		d.pass(step / 2)
		d.work()
		d.pass(step / 2)
		for name, n := range map[string]int{"requests": len(d.requests), "wire": len(d.byWire), "connections": len(d.peers.states),
			"keys": d.keys.size(), "spent": d.spent.size(), "key holders": len(d.keys.of), "checks": len(d.exercises), "deadlines": d.deadlines.Len(),
			"open": d.peers.opened} {
			largest[name] = max(largest[name], n)
		}
		if at == length/2 {
			halfway = live()
		}
	}
	most = live()
	if most > halfway {
		require.Less(t, most-halfway, uint64(64<<10), "of %d KB in use", halfway>>10)
	}
	// 10 requests a second; answers within 2 s, keys for their window and the time that they may come late.
	window := int(d.cfg.Settings.Classes[2].IdempotencyWindow/time.Second) + int(d.lateMost()/time.Second) + 2
	for name, bound := range map[string]int{"requests": 10 * 2, "wire": 10 * 2, "spent": 10 * 2 * int(d.lateMost()/time.Second+1), "open": 10 * 2, "keys": 10 * window,
		"key holders": 10 * 2, "connections": d.mostPeers(), "checks": exercisesMost, "deadlines": 10*window + 100} {
		require.LessOrEqual(t, largest[name], bound, name)
	}
	require.EqualValues(t, d.n, d.stats.Requests-d.stats.Invalid)
}

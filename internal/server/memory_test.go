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

// simulatedDay is a server whose clock is the test's.
type simulatedDay struct {
	*Server
	time         time.Time
	rng          *rand.Rand
	requestCount int
	runs         []*activeRequest // that the agent works on
}

func newSimulatedDay(t testing.TB) *simulatedDay {
	server, _ := newIdleServer(t)
	d := &simulatedDay{Server: server, time: time.Now().Round(0), rng: rand.New(rand.NewPCG(3, 3))}
	server.clock.read = func() time.Time { return d.time }
	server.clock.advance()
	server.handleHandshake(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	return d
}

// advance lets time go by: what falls due is done, and the gauges are those of a calm machine.
func (d *simulatedDay) advance(by time.Duration) {
	d.time = d.time.Add(by)
	d.gauges.record(d.clock.now, d.config.Gauges, []float64{0.3, 1, 0.1, 20})
	d.turn()
	for len(d.admission.events) > 0 {
		d.turn()
	}
}

// submit sends a request that has never been seen: new id, key, order, front end and connection.
func (d *simulatedDay) submit() {
	d.requestCount++
	conn := &countingConnection{server: d.Server}
	id := fmt.Sprintf("%016x", d.requestCount)
	try := Attempt{ID: id, Subject: id, Class: d.config.Classes[d.rng.IntN(3)], ArrivedAt: time.Duration(d.time.UnixNano()), Timeout: 2 * time.Second,
		Client: d.requestCount, CostHint: 10 * time.Millisecond, MemoryKB: 4, Rank: 0.5, Body: make([]byte, 200)}
	if try.Class == "licence-order" {
		try.IdempotencyKey = id
	}
	d.ConnectionOpened(conn)
	d.Submit(conn, 1, try)
	switch d.rng.IntN(10) {
	case 0:
		d.RejectInvalid(conn, 2, errArrivalTime)
	case 1:
		d.HealthCheck(conn, 2, true)
	case 2:
		d.Cancel(conn, 1)
	}
	d.turn()
	if r := d.requests.byAttemptID[id]; r != nil {
		d.runs = append(d.runs, r)
	}
	if d.rng.IntN(2) == 0 {
		d.ReadEnded(conn, Disconnected)
	}
}

// completeRuns ends what the agent works on, in one of the ways that it may; some of it asks for a call first, which the
// store, whom nobody reaches here, never answers.
func (d *simulatedDay) completeRuns() {
	for _, request := range d.runs {
		notification := agent.Notification{RequestID: request.attempt.ID, Result: agent.Success, Payload: make([]byte, 100)}
		switch d.rng.IntN(8) {
		case 0:
			notification.Result = agent.Failure
		case 1:
			notification.Result = agent.Interrupted
		case 2:
			d.handleCallRequest(agent.Notification{RequestID: request.attempt.ID, Payload: []byte("call")})
			d.turn()
		}
		d.handleOutcome(notification)
		d.turn()
	}
	d.runs = d.runs[:0]
}

// liveHeap is the memory in use once all garbage has gone.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// 45 minutes in which nothing comes twice: ids, keys, orders, front ends and connections are ever new. Each table
// has an end, and the memory of the last quarter is that of the second. A leak of eight bytes a request would
// come to over 100 MemoryKB.
func TestMemoryIsBoundedOverLongRun(t *testing.T) {
	const length, step = 45 * time.Minute, 100 * time.Millisecond
	day := newSimulatedDay(t)
	var halfway, atEnd uint64
	largest := map[string]int{}
	for at := time.Duration(0); at < length; at += step {
		day.submit()
		day.advance(step / 2)
		day.completeRuns()
		day.advance(step / 2)
		for name, n := range map[string]int{"requests": len(day.requests.byID), "wire": len(day.requests.byAttemptID), "connections": len(day.connections.states),
			"keys": day.idempotency.size(), "spent": day.completed.size(), "key holders": len(day.idempotency.byRequest), "checks": len(day.health.deepChecks), "deadlines": day.deadlines.Len(),
			"open": day.connections.openCalls} {
			largest[name] = max(largest[name], n)
		}
		if at == length/2 {
			halfway = liveHeap()
		}
	}
	atEnd = liveHeap()
	if atEnd > halfway {
		require.Less(t, atEnd-halfway, uint64(64<<10), "of %d KB in use", halfway>>10)
	}
	// 10 requests a second; answers within 2 s, keys for their window and the time that they may come late.
	window := int(day.config.Settings.Classes[2].IdempotencyWindow/time.Second) + int(day.config.maxArrivalAge()/time.Second) + 2
	for name, bound := range map[string]int{"requests": 10 * 2, "wire": 10 * 2, "spent": 10 * 2 * int(day.config.maxArrivalAge()/time.Second+1), "open": 10 * 2, "keys": 10 * window,
		"key holders": 10 * 2, "connections": day.maxConnections(), "checks": maxDeepChecks, "deadlines": 10*window + 100} {
		require.LessOrEqual(t, largest[name], bound, name)
	}
	require.EqualValues(t, day.requestCount, day.stats.Requests-day.stats.Invalid)
}

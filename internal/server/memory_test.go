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
	startAgent(server)
	return d
}

// advance lets time pass: deadlines are swept, with the gauges of a machine at rest.
func (d *simulatedDay) advance(by time.Duration) {
	d.time = d.time.Add(by)
	d.gauges.record(d.clock.now,
		agent.Load{CPUUtilization: 0.3, CPUDemand: 1, MemoryUtilization: 0.1, Connections: 20})
	d.turn()
	for len(d.admission.events) > 0 {
		d.turn()
	}
}

// submit sends a request of its own: ID, key, body, client and connection are new.
func (d *simulatedDay) submit() {
	d.requestCount++
	conn := &countingConnection{server: d.Server}
	id := fmt.Sprintf("%016x", d.requestCount)
	attempt := Attempt{
		ID:        id,
		Subject:   id,
		Class:     d.config.Classes[d.rng.IntN(3)],
		ArrivedAt: time.Duration(d.time.UnixNano()),
		Timeout:   2 * time.Second,
		Client:    d.requestCount,
		CostHint:  10 * time.Millisecond,
		MemoryKB:  4,
		Rank:      0.5,
		Body:      make([]byte, 200),
	}
	if attempt.Class == "licence-order" {
		attempt.IdempotencyKey = id
	}
	d.ConnectionOpened(conn)
	d.Submit(conn, 1, attempt)
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

// completeRuns ends all runs, in one of the possible ways; some ask for a call first, which the store, that can't be
// reached here, never answers.
func (d *simulatedDay) completeRuns() {
	for _, request := range d.runs {
		run := agent.RunOutcome{RequestID: request.attempt.ID, Result: agent.RunSucceeded, Payload: make([]byte, 100)}
		switch d.rng.IntN(8) {
		case 0:
			run.Result = agent.RunFailed
		case 1:
			run.Result = agent.RunInterrupted
		case 2:
			d.handleCallRequest(agent.CallRequest{RequestID: request.attempt.ID, Payload: []byte("call")})
			d.turn()
		}
		d.handleOutcome(run)
		d.turn()
	}
	d.runs = d.runs[:0]
}

// tableSizes returns the sizes of all tables that grow with requests or connections.
func (d *simulatedDay) tableSizes() map[string]int {
	return map[string]int{
		"requests":         len(d.requests.byID),
		"attempt IDs":      len(d.requests.byAttemptID),
		"connections":      len(d.connections.states),
		"idempotency keys": d.idempotency.size(),
		"keyed requests":   len(d.idempotency.byRequest),
		"completed IDs":    d.completed.size(),
		"deep checks":      len(d.health.deepChecks),
		"deadlines":        d.deadlines.Len(),
		"open requests":    d.connections.openRequests,
	}
}

// liveHeap returns the memory in use without garbage.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// 45 minutes in which nothing comes twice: IDs, keys, bodies, clients and connections are always new. Each table is
// bounded, and the memory at the end is that at half-time: a leak of eight bytes a request would be more than 100 KB.
func TestMemoryIsBoundedInLongRun(t *testing.T) {
	const length, step = 45 * time.Minute, 100 * time.Millisecond
	day := newSimulatedDay(t)
	var halfway, atEnd uint64
	largest := map[string]int{}
	for at := time.Duration(0); at < length; at += step {
		day.submit()
		day.advance(step / 2)
		day.completeRuns()
		day.advance(step / 2)
		for name, size := range day.tableSizes() {
			largest[name] = max(largest[name], size)
		}
		if at == length/2 {
			halfway = liveHeap()
		}
	}
	atEnd = liveHeap()
	if atEnd > halfway {
		require.Less(t, atEnd-halfway, uint64(64<<10), "of %d KB in use", halfway>>10)
	}
	// 10 requests a second; answers within 2 s, keys for their window and the time by which attempts may be late.
	maxArrivalAge := int(day.config.maxArrivalAge() / time.Second)
	window := int(day.config.Settings.Classes[2].IdempotencyWindow/time.Second) + maxArrivalAge + 2
	for name, bound := range map[string]int{
		"requests":         10 * 2,
		"attempt IDs":      10 * 2,
		"connections":      day.maxConnections(),
		"idempotency keys": 10 * window,
		"keyed requests":   10 * 2,
		"completed IDs":    10 * 2 * (maxArrivalAge + 1),
		"deep checks":      maxDeepChecks,
		"deadlines":        10*window + 100,
		"open requests":    10 * 2,
	} {
		require.LessOrEqual(t, largest[name], bound, name)
	}
	require.EqualValues(t, day.requestCount, day.stats.Requests-day.stats.Invalid)
}

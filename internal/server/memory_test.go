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

// simulatedServer is a server with a simulated clock.
type simulatedServer struct {
	*Server
	time         time.Time // current time of the system clock
	rng          *rand.Rand
	requestCount int
	runs         []*activeRequest // in progress at the agent
}

func newSimulatedServer(t testing.TB) *simulatedServer {
	server, _ := newServerWithoutLoop(t)
	s := &simulatedServer{Server: server, time: time.Now().Round(0), rng: rand.New(rand.NewPCG(3, 3))}
	server.clock.read = func() time.Time { return s.time }
	server.clock.advance()
	startAgent(server)
	return s
}

// advance advances the clock and runs turns, with the gauges of a lightly loaded machine.
func (s *simulatedServer) advance(by time.Duration) {
	s.time = s.time.Add(by)
	s.gauges.record(s.clock.now,
		agent.Load{CPUUtilization: 0.3, CPUDemand: 1, MemoryUtilization: 0.1, Connections: 20})
	s.turn()
	for len(s.admission.events) > 0 {
		s.turn()
	}
}

// submit submits a request with a new ID, key, body and client on a new connection.
func (s *simulatedServer) submit() {
	s.requestCount++
	conn := &countingConnection{server: s.Server}
	id := fmt.Sprintf("%016x", s.requestCount)
	attempt := Attempt{
		ID:        id,
		Subject:   id,
		Class:     s.config.Classes[s.rng.IntN(3)],
		ArrivedAt: time.Duration(s.time.UnixNano()),
		Timeout:   2 * time.Second,
		Client:    s.requestCount,
		CostHint:  10 * time.Millisecond,
		MemoryKB:  4,
		Rank:      0.5,
		Body:      make([]byte, 200),
	}
	if attempt.Class == "licence-order" {
		attempt.IdempotencyKey = id
	}
	s.ConnectionOpened(conn)
	s.Submit(conn, 1, attempt)
	switch s.rng.IntN(10) {
	case 0:
		s.RejectInvalid(conn, 2, errArrivalTime)
	case 1:
		s.HealthCheck(conn, 2, true)
	case 2:
		s.Cancel(conn, 1)
	}
	s.turn()
	if r := s.requests.byAttemptID[id]; r != nil {
		s.runs = append(s.runs, r)
	}
	if s.rng.IntN(2) == 0 {
		s.ReadEnded(conn, Disconnected)
	}
}

// completeRuns ends all runs, each in one of the possible ways. Some runs first request a call, which gets no reply because
// the store can't be reached in this test.
func (s *simulatedServer) completeRuns() {
	for _, request := range s.runs {
		run := agent.RunOutcome{RequestID: request.attempt.ID, Result: agent.RunSucceeded, Payload: make([]byte, 100)}
		switch s.rng.IntN(8) {
		case 0:
			run.Result = agent.RunFailed
		case 1:
			run.Result = agent.RunInterrupted
		case 2:
			s.handleCallRequest(agent.CallRequest{RequestID: request.attempt.ID, Payload: []byte("call")})
			s.turn()
		}
		s.handleOutcome(run)
		s.turn()
	}
	s.runs = s.runs[:0]
}

// tableSizes returns the sizes of all tables that grow with requests or connections.
func (s *simulatedServer) tableSizes() map[string]int {
	return map[string]int{
		"requests":         len(s.requests.byID),
		"attempt IDs":      len(s.requests.byAttemptID),
		"connections":      len(s.connections.states),
		"idempotency keys": s.idempotency.size(),
		"keyed requests":   len(s.idempotency.byRequest),
		"completed IDs":    s.completed.size(),
		"deep checks":      len(s.health.deepChecks),
		"deadlines":        s.deadlines.Len(),
		"open requests":    s.connections.openRequests,
	}
}

// liveHeap returns the size of the heap after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// In 45 minutes in which all IDs, keys, bodies, clients and connections are new, every table must stay within its bound.
// The heap must grow by less than 64 KB in the second half: a leak of eight bytes per request would be more than 100 KB.
func TestMemoryIsBoundedInLongRun(t *testing.T) {
	const length, step = 45 * time.Minute, 100 * time.Millisecond
	server := newSimulatedServer(t)
	var halfway, atEnd uint64
	largest := map[string]int{}
	for at := time.Duration(0); at < length; at += step {
		server.submit()
		server.advance(step / 2)
		server.completeRuns()
		server.advance(step / 2)
		for name, size := range server.tableSizes() {
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
	// 10 requests per second. Answers are given within 2 s; keys stay for their window plus the age that attempts may have.
	maxArrivalAge := int(server.config.maxArrivalAge() / time.Second)
	window := int(server.config.Settings.Classes[2].IdempotencyWindow/time.Second) + maxArrivalAge + 2
	for name, bound := range map[string]int{
		"requests":         10 * 2,
		"attempt IDs":      10 * 2,
		"connections":      server.maxConnections(),
		"idempotency keys": 10 * window,
		"keyed requests":   10 * 2,
		"completed IDs":    10 * 2 * (maxArrivalAge + 1),
		"deep checks":      maxDeepChecks,
		"deadlines":        10*window + 100,
		"open requests":    10 * 2,
	} {
		require.LessOrEqual(t, largest[name], bound, name)
	}
	require.EqualValues(t, server.requestCount, server.stats.Requests-server.stats.Invalid)
}

package server

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// referenceEvictionCandidate looks at every connection, as the table did before it kept them in order.
func referenceEvictionCandidate(t *connectionTable) *connectionState {
	var least *connectionState
	for _, state := range t.states {
		if len(state.openCalls) == 0 && (least == nil || state.kind < least.kind || state.kind == least.kind && state.lastUsed < least.lastUsed) {
			least = state
		}
	}
	return least
}

// Whatever happens to connections, and in whatever order, the table finds the one that a look at all of them
// finds, and counts what is open.
func TestConnectionTableAgainstReference(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		table, now := newConnectionTable(0), time.Duration(0)
		var all []*connectionState
		for step := range 2000 {
			now += time.Duration(rng.IntN(3)) // several may be of one instant
			if len(all) == 0 || rng.IntN(8) == 0 {
				all = append(all, table.add(&recordingConnection{}, now))
				continue
			}
			i := rng.IntN(len(all))
			state, call := all[i], uint32(rng.IntN(3))
			switch rng.IntN(6) {
			case 0:
				table.markReceived(state, now)
			case 1:
				table.touch(state, now)
			case 2:
				table.openCall(state, call, &activeRequest{})
			case 3:
				table.closeCall(state, call)
			case 4:
				table.markNotified(state, now)
			case 5:
				if rng.IntN(3) == 0 {
					table.remove(state)
					all[i] = all[len(all)-1]
					all = all[:len(all)-1]
				}
			}
			open := 0
			for _, state := range all {
				open += len(state.openCalls)
			}
			require.Equal(t, open, table.openCalls)
			require.Equal(t, len(all), table.size())
			got, want := table.evictionCandidate(), referenceEvictionCandidate(&table)
			if want == nil {
				require.Nil(t, got, "seed %d, step %d", seed, step)
			} else {
				require.Equal(t, [2]any{want.kind, want.lastUsed}, [2]any{got.kind, got.lastUsed}, "seed %d, step %d", seed, step)
			}
		}
	}
}

// Most front ends of a fleet reconnect at once: more connections than there may be. Each new one costs one that
// is idle; those with an open request stay, and once there is no other the new one goes.
func TestAllReconnectAtOnce(t *testing.T) {
	server, runPosted := newIdleServer(t)
	limit := server.maxConnections()
	var busy []*recordingConnection
	for i := range limit {
		conn := &recordingConnection{}
		server.ConnectionOpened(conn)
		runPosted()
		if i%2 == 0 {
			busy = append(busy, conn)
			server.connections.openCall(server.connections.get(conn), 1, &activeRequest{})
		}
	}
	closed := 0
	for range 2 * limit {
		conn := &recordingConnection{}
		server.ConnectionOpened(conn)
		runPosted()
		require.LessOrEqual(t, server.connections.size(), limit)
		if state := server.connections.get(conn); state.closing == closeStateOpen {
			server.connections.openCall(state, 1, &activeRequest{})
		} else {
			require.Equal(t, []any{"close"}, conn.received)
			closed++
		}
	}
	require.Equal(t, 2*limit-(limit-len(busy)), closed)
	for _, conn := range busy {
		require.Empty(t, conn.received)
	}
}

// What falls due is answered in the middle of a burst: a turn takes a bounded part of what waits, however much
// comes meanwhile. Before there was a bound it took a thousand messages, and more on a slow core than an answer
// has time.
func TestBurstDoesNotDelayDeadlines(t *testing.T) {
	server, _ := newIdleServer(t)
	var repost func()
	repost = func() { server.inbox.events <- task(repost) } // the input never runs dry
	for range inboxCapacity {
		server.inbox.events <- task(func() {})
	}
	for range 10 {
		(<-server.inbox.events).handle(server)
		server.inbox.events <- task(repost)
	}
	deadlineMet := false
	server.deadlines.Add(server.clock.now, func() { deadlineMet = true })
	server.turn()
	require.True(t, deadlineMet)
	require.GreaterOrEqual(t, server.inbox.waiting(), inboxCapacity-maxEventsPerTurn)
}

// BenchmarkTurn is a turn that brings a health check, with connections that are idle meanwhile.
func BenchmarkTurn(b *testing.B) {
	for _, connections := range []int{10, 150, 500} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			server, runPosted := newIdleServer(b)
			server.config.Limits.Sockets = 2 * (reservedConnections + connections)
			for range connections {
				server.ConnectionOpened(&countingConnection{})
			}
			conn := &countingConnection{}
			server.ConnectionOpened(conn)
			runPosted()
			b.ReportAllocs()
			for b.Loop() {
				server.HealthCheck(conn, 1, false)
				server.turn()
			}
		})
	}
}

// BenchmarkOpened is a connection that comes while the table is full.
func BenchmarkOpened(b *testing.B) {
	for _, connections := range []int{10, 150, 500} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			server, runPosted := newIdleServer(b)
			server.config.Limits.Sockets = 2 * (reservedConnections + connections)
			b.ReportAllocs()
			for b.Loop() {
				server.ConnectionOpened(&countingConnection{})
				runPosted()
			}
		})
	}
}

// countingConnection only counts, so that nothing grows while it is measured.
type countingConnection struct {
	answers int
	server  *Server // that is told once nothing more is read; nil: nobody
}

func (conn *countingConnection) Answer(uint32, Answer) { conn.answers++ }
func (conn *countingConnection) NotifyClosing()        {}
func (conn *countingConnection) Close()                {}
func (conn *countingConnection) PauseReading() {
	if conn.server != nil {
		conn.server.ReadEnded(conn, ReadPaused)
	}
}
func (conn *countingConnection) ResumeReading()    {}
func (conn *countingConnection) TryClose() bool    { return true }
func (conn *countingConnection) MaxOpenCalls() int { return 32 }

package server

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Deadlines are met in the middle of a burst: a turn handles a bounded number of events, however many arrive meanwhile.
// Without the bound it handled a thousand and more, which on a slow core takes longer than an answer may.
func TestBurstDoesNotDelayDeadlines(t *testing.T) {
	server, _ := newIdleServer(t)
	var repost func()
	repost = func() { server.inbox.events <- task(repost) } // the inbox never runs dry
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

// BenchmarkTurn is a turn with one health check, beside idle connections.
func BenchmarkTurn(b *testing.B) {
	for _, connections := range []int{10, 150, 500} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			server, runPosted := newIdleServer(b)
			server.config.Limits.FileDescriptors = 2 * (reservedConnections + connections)
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

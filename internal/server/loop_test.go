package server

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// A turn must handle a bounded number of events, so that deadlines are met during a burst. Without the bound a turn
// handled more than a thousand events, which on a slow core takes longer than an answer may.
func TestBurstDoesNotDelayDeadlines(t *testing.T) {
	server, _ := newServerWithoutLoop(t)
	var repost func()
	repost = func() { server.inbox.events <- task(repost) } // the inbox is never empty
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

// BenchmarkTurn runs a turn with one health check, with the given number of idle connections.
func BenchmarkTurn(b *testing.B) {
	for _, connections := range []int{10, 150, 500} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			server, handleInbox := newServerWithoutLoop(b)
			server.config.Limits.FileDescriptors = 2 * (reservedConnections + connections)
			for range connections {
				server.ConnectionOpened(&countingConnection{})
			}
			conn := &countingConnection{}
			server.ConnectionOpened(conn)
			handleInbox()
			b.ReportAllocs()
			for b.Loop() {
				server.HealthCheck(conn, 1, false)
				server.turn()
			}
		})
	}
}

package replacement

import (
	"context"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"falldeal/lab/clients"

	"github.com/stretchr/testify/require"
)

// logged reports whether the log of a process has a line with the given text.
func (s *imageServer) logged(by *process, text string) bool {
	content, err := os.ReadFile(by.logFile)
	require.NoError(s, err)
	return strings.Contains(string(content), text)
}

// The link between two processes must hold while clients send requests with new keys at full speed. It ended before, since its
// write queue was full, and orders were run by both processes.
func TestLinkHoldsDuringFlood(t *testing.T) {
	const overlap = 4 * time.Second
	binary := buildProgram(t)
	for name, timeout := range map[string]time.Duration{"rejected at once": 20 * time.Millisecond, "rejected by the agent": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			server := newImageServer(t, binary, options{memoryMB: 64, requestsPerSecond: 60, requestsPerConnection: 20})
			predecessor := server.start()
			server.waitReady(predecessor)
			ctx, stop := context.WithCancel(t.Context())
			var group sync.WaitGroup
			defer group.Wait()
			defer stop()
			group.Go(func() { server.load(ctx) })
			samples := server.sampleMemory(ctx, &group)
			flood := clients.Flood{
				Address: server.address, Clients: 40, Open: 32, RequestsPerConnection: 1000,
				Class: "licence-order", Keyed: true, Timeout: timeout,
			}
			group.Go(func() { t.Logf("%d requests of the flood sent", flood.Run(ctx)) })
			time.Sleep(time.Second)
			successor := server.start()
			server.waitReady(successor)
			time.Sleep(overlap)
			t.Logf("at most %.1f MB\n%s", samples.peak(), server.metrics(successor))
			require.False(t, server.logged(predecessor, "successor process disconnected"))
			require.False(t, server.logged(successor, "predecessor process disconnected"))
			require.True(t, server.logged(successor, "idempotency keys synchronized with predecessor"))
			require.LessOrEqual(t, samples.peak(), float64(server.options.memoryMB))

			server.signal(predecessor, syscall.SIGTERM)
			select {
			case <-predecessor.exited:
			case <-time.After(waitTimeout):
				t.Fatal("the predecessor did not end")
			}
			require.False(t, server.logged(successor, "link to a process of this image server lost"))
		})
	}
}

package replacement

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"falldeal/lab/clients"

	"github.com/stretchr/testify/require"
)

// metrics returns the metrics that a process publishes to operators.
func (s *imageServer) metrics(of *process) string {
	response, err := http.Get("http://" + of.console + "/metrics") //nolint:noctx // the test has a time limit
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return string(text)
}

// floodAlone sends a flood to an image server of one process beside the load of front ends, and returns the most memory that
// it used, in MB.
func (s *imageServer) floodAlone(flood clients.Flood, length time.Duration) float64 {
	started := s.start()
	s.waitReady(started)
	ctx, stop := context.WithTimeout(s.Context(), length)
	defer stop()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { s.load(ctx) })
	samples := s.sampleMemory(ctx, &group)
	flood.Address = s.address
	sent := flood.Run(ctx)
	s.Logf("%d requests of the flood sent, at most %.1f MB\n%s", sent, samples.peak(), s.metrics(started))
	return samples.peak()
}

// Clients that send the next request as soon as one is rejected or cancelled must not take the image server over its memory:
// what was kept of each such request was bounded by a time only, so that it grew with their rate until the platform killed
// the process.
func TestFloodOfRequestsStaysWithinMemory(t *testing.T) {
	binary := buildProgram(t)
	const length = 8 * time.Second
	floods := map[string]clients.Flood{
		"rejected":  {Class: "hires-crop", Timeout: 5 * time.Second},
		"keyed":     {Class: "licence-order", Keyed: true, Timeout: 5 * time.Second},
		"too late":  {Class: "licence-order", Keyed: true, Timeout: 20 * time.Millisecond},
		"cancelled": {Class: "hires-crop", Timeout: 5 * time.Second, Cancel: true},
	}
	for name, flood := range floods {
		t.Run(name, func(t *testing.T) {
			server := newImageServer(t, binary, options{memoryMB: 32, requestsPerSecond: 20})
			flood.Clients, flood.Open = 10, 32
			require.LessOrEqual(t, server.floodAlone(flood, length), float64(server.options.memoryMB))
		})
	}
}

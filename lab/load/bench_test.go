package load

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"falldeal/lab/loopback"

	"github.com/stretchr/testify/require"
)

// usage is what this process has used since its start.
type usage struct {
	cpu      time.Duration
	switches int64 // voluntary context switches
}

func currentUsage(b *testing.B) usage {
	b.Helper()
	var rusage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &rusage))
	return usage{cpu: time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano()), switches: rusage.Nvcsw}
}

// reportUsage reports the usage per operation since before.
func reportUsage(b *testing.B, before usage) {
	b.Helper()
	now := currentUsage(b)
	b.ReportMetric(float64((now.cpu-before.cpu).Microseconds())/float64(b.N), "cpu-µs/op")
	b.ReportMetric(float64(now.switches-before.switches)/float64(b.N), "waits/op")
}

// BenchmarkRequest measures what a request costs the server's process, including the kernel and the Go runtime.
// Requests of the class preview make a call to the store.
func BenchmarkRequest(b *testing.B) {
	for _, class := range []string{"hires-crop", "preview"} {
		for _, clients := range []int{1, 8, 64} {
			b.Run(fmt.Sprintf("%s/callers=%d", class, clients), func(b *testing.B) {
				srv := newTestServer(b)
				srv.run(b, Plan{Clients: clients, Requests: 10 * clients, Classes: []string{class}, BodyBytes: 1024})
				b.ResetTimer()
				before := currentUsage(b)
				report := srv.run(b, Plan{Clients: clients, Requests: b.N, Classes: []string{class}, BodyBytes: 1024})
				reportUsage(b, before)
				b.ReportMetric(float64(report.Served)/float64(report.Total()), "served/op")
			})
		}
	}
}

// BenchmarkIdle measures what one second without requests costs the server's process, with idle connections.
func BenchmarkIdle(b *testing.B) {
	for _, connections := range []int{0, 150} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			srv := newTestServer(b)
			for range connections {
				loopback.Dial(b, srv.addr)
			}
			b.ResetTimer()
			before := currentUsage(b)
			time.Sleep(time.Duration(b.N) * time.Second)
			reportUsage(b, before)
		})
	}
}

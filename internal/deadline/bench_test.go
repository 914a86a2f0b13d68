package deadline

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkAddSweep adds one entry and sweeps one, in a queue with size other entries.
func BenchmarkAddSweep(b *testing.B) {
	for _, size := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			queue, rng := New(), rand.New(rand.NewPCG(1, 1))
			noop := func() {}
			for i := range size {
				queue.Add(time.Duration(i), noop)
			}
			now := time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				queue.Add(now+time.Duration(rng.IntN(size)), noop)
				now++
				queue.Sweep(now)
			}
		})
	}
}

// BenchmarkCancel adds an entry and cancels it at once, as for a call that ends before its deadline.
func BenchmarkCancel(b *testing.B) {
	for _, size := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			queue := New()
			for i := range size {
				queue.Add(time.Duration(i), func() {})
			}
			b.ReportAllocs()
			for b.Loop() {
				queue.Cancel(queue.Add(time.Duration(size/2), nil))
			}
		})
	}
}

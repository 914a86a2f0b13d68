package deadline

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkAddSweep enters a deadline and sweeps one, with so many in the queue.
func BenchmarkAddSweep(b *testing.B) {
	for _, size := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			q, rng := New(), rand.New(rand.NewPCG(1, 1))
			nothing := func() {}
			for i := range size {
				q.Add(time.Duration(i), nothing)
			}
			now := time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				q.Add(now+time.Duration(rng.IntN(size)), nothing)
				now++
				q.Sweep(now)
			}
		})
	}
}

// BenchmarkCancel takes out what was entered: a call that ends before its limit.
func BenchmarkCancel(b *testing.B) {
	for _, size := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			q := New()
			for i := range size {
				q.Add(time.Duration(i), func() {})
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Cancel(q.Add(time.Duration(size/2), nil))
			}
		})
	}
}

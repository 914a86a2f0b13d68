package overload

import (
	"fmt"
	"testing"
	"time"

	"falldeal/internal/fleet"
)

// BenchmarkClassify measures the work for each request: its fingerprint, its age and the verdict.
func BenchmarkClassify(b *testing.B) {
	view := viewOf(300, time.Second, func(int) fleet.Load {
		return fleet.Load{Capacity: 4, ServiceRate: 4, Demand: string([]byte{10, 120, 120, 120})}
	})
	shedder, counter, estimator := &Shedder{}, NewRetryCounter(), NewAgeEstimator()
	shedder.Tick(time.Second, LocalLoad{ServiceRate: 4, Cores: 4}, view, time.Second)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		fingerprint := Fingerprint("hires-crop", "0011223344556677", "", i&7, float64(i&1023)/1024, 0.09)
		age := estimator.RecordAttempt(time.Second, "hires-crop", time.Duration(4000-(i&3)*(i&1023))*time.Millisecond)
		shedder.Classify(2, 0.09, 0.5, counter.RecordAttempt(time.Second, fingerprint) || age > 0)
	}
}

// BenchmarkShedderTick measures Shedder.Tick in fleets of different sizes.
func BenchmarkShedderTick(b *testing.B) {
	for _, members := range []int{10, 100, 300, 3000} {
		view := viewOf(members, time.Second, func(int) fleet.Load {
			return fleet.Load{Capacity: 4, ServiceRate: 4, Demand: string(make([]byte, 30))}
		})
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			shedder := &Shedder{}
			b.ReportAllocs()
			for b.Loop() {
				shedder.Tick(time.Second, LocalLoad{ServiceRate: 4, Cores: 4}, view, time.Second)
			}
		})
	}
}

package admission

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// The circuit breaker drops calls while the dependency fails, and forgets the failures after its window.
func Example_circuitBreaker() {
	breaker := newCircuitBreaker(0)
	for range 100 {
		breaker.record(time.Second, OutcomeFailed)
	}
	fmt.Printf("%.2f\n", breaker.dropProbability(time.Second))
	fmt.Printf("%.2f\n", breaker.dropProbability(time.Second+breakerWindow))
	// Output:
	// 0.94
	// 0.00
}

// The admit probability falls fast under overload and recovers slowly.
func Example_admitProbability() {
	admission := newAdmitProbability(rand.New(rand.NewPCG(1, 1)))
	for range 10 {
		admission.adjust(true)
	}
	fmt.Printf("%.2f\n", admission.probability)
	for range 10 {
		admission.adjust(false)
	}
	fmt.Printf("%.2f\n", admission.probability)
	// Output:
	// 0.35
	// 0.55
}

// A server that has just started allows less concurrency than a warm one.
func Example_concurrencyLimiter() {
	limiter := newConcurrencyLimiter(0, &Settings{Cores: 4, MaxConcurrencyPerCore: 5, WarmingUp: true,
		SlowStartSpeedRatio: 0.2, SlowStartTime: 10 * time.Second})
	fmt.Printf("%.2f\n", limiter.concurrencyLimit(0))
	fmt.Printf("%.2f\n", limiter.concurrencyLimit(10*time.Second))
	// Output:
	// 5.76
	// 16.00
}

// The limit on calls in flight falls while calls are much slower than at best.
func Example_callLimiter() {
	limiter := newCallLimiter(0, &Settings{MaxCallsInFlight: 8, CallsWindow: 5 * time.Second})
	fmt.Printf("%.1f\n", limiter.limit())
	limiter.recordCallTime(20 * time.Millisecond)
	limiter.adjust()
	for range 20 {
		limiter.recordCallTime(200 * time.Millisecond)
		limiter.adjust()
	}
	fmt.Printf("%.1f\n", limiter.limit())
	// Output:
	// 4.0
	// 3.0
}

// If a tenant sends twice its quota, its requests have half their value.
func Example_tenantQuotas() {
	var quotas tenantQuotas
	quotas.configure(&Settings{FleetSize: 1, Tenants: []Tenant{{QuotaPerSecond: 10}}, ExcessValueRatio: 0.05})
	for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond { // 20 requests per second
		quotas.count(now, 0)
	}
	quotas.updateValueFactors(time.Minute)
	fmt.Printf("%.1f\n", quotas.valueFactor(0))
	// Output: 0.5
}

// The limit is below the memory of the server; the rest is for requests that are being read.
func Example_memoryBudget() {
	var memory memoryBudget
	memory.configure(&Settings{MemoryKB: 1000, RunningMemoryFactor: 4})
	memory.reserve(900)
	fmt.Println(memory.exceeded(), memory.wouldExceed(memory.runningExtraKB(10)))
	// Output: false true
}

// A request is not run if it arrives after the grace period or cannot end in time.
func Example_drain() {
	drain := drain{grace: time.Second}
	drain.start(10*time.Second, DrainSignal{StopAt: 14 * time.Second})
	fmt.Println(drain.acceptsRun(10500*time.Millisecond, 12*time.Second))
	fmt.Println(drain.acceptsRun(10500*time.Millisecond, 14*time.Second))
	fmt.Println(drain.acceptsRun(11500*time.Millisecond, 12*time.Second))
	// Output:
	// true
	// false
	// false
}

package admission

import "math/rand/v2"

const (
	pressureUtilization   = 0.9  // CPU utilization above which the server is under CPU pressure
	pressureDemandPerCore = 2.0  // CPU demand per core above which the server is under CPU pressure
	admitDecrease         = 0.9  // factor per periodic decision (100 ms) while overloaded
	admitIncrease         = 0.02 // added per periodic decision (100 ms) otherwise
	minAdmitProbability   = 0.05 // admits some requests, so that latencies are still measured
)

// admitProbability is the probability with which a request is admitted while all cores are busy. It follows
// an additive increase, multiplicative decrease (AIMD) rule, applied once per periodic decision.
type admitProbability struct {
	probability float64
	rng         *rand.Rand
}

func newAdmitProbability(rng *rand.Rand) admitProbability {
	return admitProbability{probability: 1, rng: rng}
}

// admits draws whether the next request is admitted.
func (a *admitProbability) admits() bool { return a.rng.Float64() < a.probability }

// adjust lowers the probability while the server is overloaded, and raises it otherwise.
func (a *admitProbability) adjust(overloaded bool) {
	if overloaded {
		a.probability = max(a.probability*admitDecrease, minAdmitProbability)
		return
	}
	a.probability = min(a.probability+admitIncrease, 1)
}

// reduced reports whether the probability is at most admitDecrease, which is its value after one decrease
// from 1.
func (a *admitProbability) reduced() bool { return a.probability <= admitDecrease }

// condition returns the state of ConditionAdmission.
func (a *admitProbability) condition() ConditionChange {
	return ConditionChange{Condition: ConditionAdmission, Active: a.reduced(), Value: a.probability}
}

// recovered reports whether all requests are admitted.
func (a *admitProbability) recovered() bool { return a.probability == 1 }

// underCPUPressure reports whether the cores are short of time. An unknown gauge indicates no pressure.
func underCPUPressure(gauges Gauges, cores int) bool {
	return gauges.CPUUtilization > pressureUtilization ||
		gauges.CPUDemand > pressureDemandPerCore*float64(cores)
}

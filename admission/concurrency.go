package admission

import "time"

const (
	initialRunsPerCore   = 1.33 // initial run limit, per core
	maxRunsPerCore       = 2.2  // upper bound of the run limit, per core
	targetDemandPerCore  = 1.5  // CPU demand per core; the run limit rises below it and falls above it
	runLimitStep         = 0.25 // change of the run limit per periodic decision (100 ms)
	safeConcurrencyRatio = 0.8  // fraction of the concurrency that a server can handle; limits all runs
	coresPerTrialRun     = 3    // while all requests are late, one trial run is kept per this number of cores
)

// concurrencyLimiter counts the requests that run and applies two limits:
//
//   - The run limit bounds the runs on the CPU. It follows the measured CPU demand.
//   - The concurrency limit bounds all runs, including those that wait for a call. It is the number of runs
//     that the server can handle when all of them return to the CPU at once. It is lower during a slow start.
type concurrencyLimiter struct {
	cores      int
	maxPerCore float64 // runs on the CPU per core that a server can handle after its slow start
	slowStart  slowStart
	runLimit   float64 // of runs on the CPU; may be fractional

	running int     // all runs, including those in or waiting for calls
	onCPU   int     // runs that are not in or waiting for a call
	work    float64 // of all runs, in seconds of a standard core
}

func newConcurrencyLimiter(now time.Duration, settings *Settings) *concurrencyLimiter {
	limiter := &concurrencyLimiter{slowStart: slowStart{startedAt: now}}
	limiter.configure(settings)
	limiter.runLimit = initialRunsPerCore * float64(limiter.cores)
	return limiter
}

// configure applies the limits of settings. The run limit follows at the next periodic decision.
func (l *concurrencyLimiter) configure(settings *Settings) {
	l.cores = settings.Cores
	l.maxPerCore = settings.MaxConcurrencyPerCore
	l.slowStart.configure(settings)
}

// adjust raises the run limit while requests are queued and the CPU demand is below its target, and lowers it
// while the demand is above the target. Demand is the number of cores requested; a negative value means
// unknown.
func (l *concurrencyLimiter) adjust(demand float64, requestsQueued bool) {
	cores := float64(l.cores)
	target := targetDemandPerCore * cores
	switch {
	case demand > target:
		l.runLimit -= runLimitStep
	case requestsQueued && demand >= 0 && demand < target:
		l.runLimit += runLimitStep
	}
	l.runLimit = min(max(l.runLimit, cores), maxRunsPerCore*cores)
}

// concurrencyLimit returns the limit on all runs at now. It is at least 1.
func (l *concurrencyLimiter) concurrencyLimit(now time.Duration) float64 {
	perCore := 1 + (l.maxPerCore-1)*l.slowStart.speedRatio(now)
	return max(1, safeConcurrencyRatio*float64(l.cores)*perCore)
}

// mayStart reports whether both limits allow one more run.
func (l *concurrencyLimiter) mayStart(now time.Duration) bool {
	return l.underRunLimit() && float64(l.running) < l.concurrencyLimit(now)
}

// underRunLimit reports whether the run limit allows one more run on the CPU.
func (l *concurrencyLimiter) underRunLimit() bool { return float64(l.onCPU) < l.runLimit }

// allCoresBusy reports whether there is at least one run on the CPU per core.
func (l *concurrencyLimiter) allCoresBusy() bool { return l.onCPU >= l.cores }

// enoughTrials reports whether at least trialRuns requests run. While no request can meet its objective, that
// many still run as trials: their run times show when the server or its dependency has recovered.
func (l *concurrencyLimiter) enoughTrials() bool { return l.running >= l.trialRuns() }

// trialRuns returns one run per coresPerTrialRun cores, and at least one.
func (l *concurrencyLimiter) trialRuns() int { return max(1, l.cores/coresPerTrialRun) }

// start counts a run that begins on the CPU.
func (l *concurrencyLimiter) start(work float64) {
	l.running++
	l.onCPU++
	l.work += work
}

// releaseCPU counts a run that leaves the CPU to wait for a call or to end.
func (l *concurrencyLimiter) releaseCPU() { l.onCPU-- }

// reacquireCPU counts a run that returns to the CPU after a call.
func (l *concurrencyLimiter) reacquireCPU() { l.onCPU++ }

// end removes a run that has left the CPU.
func (l *concurrencyLimiter) end(work float64) {
	l.running--
	l.work = max(l.work-work, 0)
}

package admission

import "time"

const (
	initialRunsPerCore   = 1.33 // runs on the CPU, per core, to begin with
	maxRunsPerCore       = 2.2  // upper bound to which measured demand may raise them
	targetDemandPerCore  = 1.5  // CPU demand per core above which they are lowered
	runLimitStep         = 0.25 // change of the run limit per sweep
	safeConcurrencyRatio = 0.8  // of the concurrency that a server can handle, calls in flight included
	coresPerTrialRun     = 3    // while all requests are late, one trial run is kept for so many cores
)

// concurrencyLimiter counts the requests that run and limits them in two ways: those on the CPU, by a run
// limit that follows the measured CPU demand, and all of them, those that wait for a call included, by what
// the server can handle when all return to the CPU at once. That is less while a server warms up.
type concurrencyLimiter struct {
	cores      int
	maxPerCore float64 // runs on the CPU, per core, that a warm server can handle
	slowStart  slowStart
	runLimit   float64 // of runs on the CPU

	running int     // runs, those that wait for calls included
	onCPU   int     // runs on the CPU, not waiting for a call
	work    float64 // of all runs, in seconds of a standard core
}

func newConcurrencyLimiter(now time.Duration, settings *Settings) *concurrencyLimiter {
	limiter := &concurrencyLimiter{slowStart: slowStart{startedAt: now}}
	limiter.configure(settings)
	limiter.runLimit = initialRunsPerCore * float64(limiter.cores)
	return limiter
}

// configure takes over the limits of settings. The run limit follows with the next sweep.
func (l *concurrencyLimiter) configure(settings *Settings) {
	l.cores = settings.Cores
	l.maxPerCore = settings.MaxConcurrencyPerCore
	l.slowStart.configure(settings)
}

// adjust raises the run limit while requests are queued and CPU demand is below its target, and lowers it
// while demand is above the target. Demand is the number of cores asked for, below 0 if it is unknown.
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

// concurrencyLimit bounds all runs at now.
func (l *concurrencyLimiter) concurrencyLimit(now time.Duration) float64 {
	perCore := 1 + (l.maxPerCore-1)*l.slowStart.speedRatio(now)
	return max(1, safeConcurrencyRatio*float64(l.cores)*perCore)
}

// mayStart reports whether both limits allow one more run.
func (l *concurrencyLimiter) mayStart(now time.Duration) bool {
	return l.underRunLimit() && float64(l.running) < l.concurrencyLimit(now)
}

// underRunLimit reports whether one more run may be on the CPU.
func (l *concurrencyLimiter) underRunLimit() bool { return float64(l.onCPU) < l.runLimit }

// allCoresBusy reports whether each core has a run.
func (l *concurrencyLimiter) allCoresBusy() bool { return l.onCPU >= l.cores }

// enoughTrials reports whether at least trialRuns requests run. While no request can be on time, so many are
// still run as trials: their run times show when the server or its dependency has recovered.
func (l *concurrencyLimiter) enoughTrials() bool { return l.running >= l.trialRuns() }

// trialRuns is one run per coresPerTrialRun cores, and at least one.
func (l *concurrencyLimiter) trialRuns() int { return max(1, l.cores/coresPerTrialRun) }

// start counts a run that begins on the CPU.
func (l *concurrencyLimiter) start(work float64) {
	l.running++
	l.onCPU++
	l.work += work
}

// releaseCPU counts a run that waits for a call, or ends, from now on.
func (l *concurrencyLimiter) releaseCPU() { l.onCPU-- }

// reacquireCPU counts a run that goes on after a call.
func (l *concurrencyLimiter) reacquireCPU() { l.onCPU++ }

// end drops a run that is not on the CPU any more.
func (l *concurrencyLimiter) end(work float64) {
	l.running--
	l.work = max(l.work-work, 0)
}

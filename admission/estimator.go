package admission

import (
	"time"

	"falldeal/admission/internal/rolling"
)

const (
	estimateGain      = 0.1             // weight of a new run in the estimates of its class
	latencyGain       = 0.1             // weight of a new run in the mean latency of its class
	defaultWorkRatio  = 0.1             // work of a request without a hint, as a part of its objective
	defaultCallTime   = 0.05            // seconds that a call takes before one was measured
	speedTimeConstant = 2 * time.Second // of fully used CPU time, over which speed is averaged
	minCoreSpeed      = 0.01            // least speed of a core, of a standard one
	minSpeedSample    = 1e-3            // core-seconds; least sum that work is divided by
	runningWorkAhead  = 0.5             // part of the running work that is left in the mean
	skipWaitRatio     = 0.3             // of the time left, that a call which may be skipped is waited for
)

// estimator estimates how long requests wait and run, from the runs that have ended, the requests that are
// queued and running, and the calls to the dependency. Work is in seconds of a standard core.
type estimator struct {
	classes   []Class
	cores     int
	estimates []classEstimates     // by class
	speed     rolling.DecayingPair // First: work completed; Second: core-seconds used
	busyTime  time.Duration        // time for which all cores together were in use

	queue *requestQueue
	runs  *concurrencyLimiter
	calls *callLimiter
}

// classEstimates are what is known of the runs of one class.
type classEstimates struct {
	work        rolling.Average   // work of a request that came with a hint
	cpuTime     rolling.LinearFit // seconds on the CPU for a given work
	callsPerRun rolling.Average
	latency     rolling.Average // seconds from arrival to end without calls
}

func newEstimator(
	settings *Settings, queue *requestQueue, runs *concurrencyLimiter, calls *callLimiter,
) *estimator {
	half := float64(settings.Cores) / 2
	estimator := &estimator{queue: queue, runs: runs, calls: calls}
	estimator.speed = rolling.NewDecayingPair(speedTimeConstant, half, half)
	estimator.speed.First *= runs.slowStart.assumedInitialRatio()
	return estimator
}

func (e *estimator) configure(settings *Settings) {
	e.classes = settings.Classes
	e.cores = settings.Cores
	e.estimates = append(e.estimates, make([]classEstimates, len(settings.Classes)-len(e.estimates))...)
}

// advance adds the core time that the runs on the CPU used in the time elapsed.
func (e *estimator) advance(elapsed time.Duration) {
	coresUsed := float64(min(e.runs.onCPU, e.cores))
	e.busyTime += time.Duration(float64(elapsed) * coresUsed / float64(e.cores))
	e.speed.Add(e.busyTime, 0, elapsed.Seconds()*coresUsed)
}

// recordRun updates the estimates by a run that succeeded at now. Took includes its calls.
func (e *estimator) recordRun(now time.Duration, request *request, took time.Duration) {
	estimates := &e.estimates[request.class]
	estimates.cpuTime.Add(request.work, (took - request.callTime).Seconds(), estimateGain)
	estimates.callsPerRun.Add(float64(request.callAttempts), estimateGain)
	estimates.latency.Add((now - request.arrivedAt - request.callTime).Seconds(), latencyGain)
	e.speed.Add(e.busyTime, request.work, 0)
}

// recordHint returns the work of a request of a class by its hint, which counts in the mean of the class from
// now on. Without a hint, 0, it is that mean.
func (e *estimator) recordHint(class int, hint time.Duration) float64 {
	estimates := &e.estimates[class]
	work := hint.Seconds()
	if work <= 0 {
		return estimates.work.Or(defaultWorkRatio * e.classes[class].LatencyObjective.Seconds())
	}
	estimates.work.Add(work, estimateGain)
	return work
}

// serviceRate is the work that this server completes per second.
func (e *estimator) serviceRate() float64 {
	coreSpeed := e.speed.First / max(e.speed.Second, minSpeedSample)
	return max(coreSpeed, minCoreSpeed) * float64(e.cores)
}

// anyClassLate reports whether runs of some class take longer than its latency objective.
func (e *estimator) anyClassLate() bool {
	for i := range e.estimates {
		class := &e.classes[i]
		if !class.Removed && e.estimates[i].latency.Or(0) > class.LatencyObjective.Seconds() {
			return true
		}
	}
	return false
}

// cpuOverloaded reports whether the cores are short of time and requests are late for it.
func (e *estimator) cpuOverloaded(gauges Gauges) bool {
	return e.anyClassLate() && underCPUPressure(gauges, e.cores)
}

// callsPerRun is the mean number of calls that a run of a class makes.
func (e *estimator) callsPerRun(class int) float64 { return e.estimates[class].callsPerRun.Or(1) }

// serviceTime is how long a request takes once it runs, calls included.
func (e *estimator) serviceTime(now time.Duration, request *request) time.Duration {
	class := &e.estimates[request.class]
	estimate := request.work * initialRunsPerCore * float64(e.cores) / e.serviceRate()
	if class.cpuTime.Known() {
		estimate = class.cpuTime.At(request.work)
	}
	if e.needsCall(now, request) {
		estimate += class.callsPerRun.Or(1) * e.calls.callTime.Or(defaultCallTime)
	}
	return seconds(estimate)
}

// latestStart is when a request must start to meet its objective.
func (e *estimator) latestStart(now time.Duration, request *request) time.Duration {
	return request.objective - e.serviceTime(now, request)
}

// finishTime is when a request would be answered if it were admitted now.
func (e *estimator) finishTime(now time.Duration, request *request) time.Duration {
	wait := e.cpuWait(request)
	if e.needsCall(now, request) {
		wait = max(wait, e.callWait())
	}
	return now + wait + e.serviceTime(now, request)
}

// cpuWait is how long a request waits for a core: for a part of the running work, and what is queued ahead.
// Of a class with a longer objective, only a part of its queue is ahead.
func (e *estimator) cpuWait(request *request) time.Duration {
	if e.runs.underRunLimit() && e.queue.count == 0 {
		return 0
	}
	ahead := runningWorkAhead * e.runs.work
	objective := e.classes[request.class].LatencyObjective.Seconds()
	for i := range e.queue.classes {
		ahead += e.queue.classes[i].work * min(1, objective/e.classes[i].LatencyObjective.Seconds())
	}
	return seconds(ahead / e.serviceRate())
}

// callWait is how long a new request waits for calls that others make first. Requests that may do without
// their calls don't count: they yield.
func (e *estimator) callWait() time.Duration {
	if !e.calls.delaysCalls() {
		return 0
	}
	ahead := float64(e.calls.waitingCount)
	for i := range e.classes {
		if e.classes[i].mustCall() {
			ahead += float64(e.queue.classes[i].count) * e.estimates[i].callsPerRun.Or(1)
		}
	}
	return e.calls.waitFor(ahead)
}

// needsCall reports whether a request will call the dependency.
func (e *estimator) needsCall(now time.Duration, request *request) bool {
	return e.classes[request.class].CallsDependency && !e.skipsCall(now, request)
}

// skipsCall reports whether a request may do without its call and would wait for it so long that requests
// which may not should have it.
func (e *estimator) skipsCall(now time.Duration, request *request) bool {
	mayDegrade := e.classes[request.class].DegradedValueRatio > 0
	return mayDegrade && e.callWait() > scale(request.objective-now, skipWaitRatio)
}

// bottleneck is what a request that can't be on time waits for. Cores that are idle beside a queue show that
// it is calls, whatever the estimates say.
func (e *estimator) bottleneck(now time.Duration, request *request) resource {
	if !e.needsCall(now, request) {
		return resourceCPU
	}
	coresIdle := e.runs.underRunLimit() && e.queue.count > 0
	if coresIdle || e.callWait() > e.cpuWait(request) {
		return resourceCalls
	}
	return resourceCPU
}

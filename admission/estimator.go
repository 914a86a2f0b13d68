package admission

import (
	"time"

	"falldeal/admission/internal/rolling"
)

const (
	// Weights of a new run in the estimates and in the mean latency of its class.
	estimateGain = 0.1
	latencyGain  = 0.1
	// Work of a request before the first hint of its class, as a fraction of its objective.
	defaultWorkRatio = 0.1
	// Seconds that a call is assumed to take until one was measured.
	defaultCallTime = 0.05
	// Time constant of the mean speed. It counts busy time per core, so idle time does not change the mean.
	speedTimeConstant = 2 * time.Second
	// Lower bound of the speed of a core, relative to a standard core.
	minCoreSpeed = 0.01
	// Lower bound of the core-seconds that the completed work is divided by.
	minSpeedSample = 1e-3
	// Mean fraction of the running work that is still to be done.
	runningWorkAhead = 0.5
	// Longest expected wait for a call that may be skipped, as a fraction of the time until the objective.
	skipWaitRatio = 0.3
)

// estimator estimates waiting and run times from the runs that have ended, the queued and running requests,
// and the calls to the dependency. Work is in seconds of a standard core.
type estimator struct {
	classes   []Class
	cores     int
	estimates []classEstimates     // indexed by class
	speed     rolling.DecayingPair // First: work completed; Second: core-seconds used
	busyTime  time.Duration        // core time used, divided by the number of cores; the clock of speed

	queue *requestQueue
	runs  *concurrencyLimiter
	calls *callLimiter
}

// classEstimates holds the moving averages of the runs of one class.
type classEstimates struct {
	work        rolling.Average   // of the work hints, in seconds of a standard core
	cpuTime     rolling.LinearFit // run time without calls, in seconds, as a function of work
	callsPerRun rolling.Average   // calls made by a run
	latency     rolling.Average   // seconds from arrival to the end of the run, without calls
}

func newEstimator(
	settings *Settings, queue *requestQueue, runs *concurrencyLimiter, calls *callLimiter,
) *estimator {
	initialSample := float64(settings.Cores) / 2 // the assumed speed has the weight of 0.5 s of all cores
	estimator := &estimator{queue: queue, runs: runs, calls: calls}
	estimator.speed = rolling.NewDecayingPair(speedTimeConstant, initialSample, initialSample)
	estimator.speed.First *= runs.slowStart.assumedInitialRatio()
	return estimator
}

// configure applies the cores and classes of settings. The estimates of known classes are kept.
func (e *estimator) configure(settings *Settings) {
	e.classes = settings.Classes
	e.cores = settings.Cores
	e.estimates = append(e.estimates, make([]classEstimates, len(settings.Classes)-len(e.estimates))...)
}

// advance adds the core time that the runs on the CPU used while the given time elapsed.
func (e *estimator) advance(elapsed time.Duration) {
	coresUsed := float64(min(e.runs.onCPU, e.cores))
	e.busyTime += time.Duration(float64(elapsed) * coresUsed / float64(e.cores))
	e.speed.Add(e.busyTime, 0, elapsed.Seconds()*coresUsed)
}

// recordRun updates the estimates with a run that succeeded at now. The time that it took includes its calls.
func (e *estimator) recordRun(now time.Duration, request *request, took time.Duration) {
	estimates := &e.estimates[request.class]
	estimates.cpuTime.Add(request.work, (took - request.callTime).Seconds(), estimateGain)
	estimates.callsPerRun.Add(float64(request.callAttempts), estimateGain)
	estimates.latency.Add((now - request.arrivedAt - request.callTime).Seconds(), latencyGain)
	e.speed.Add(e.busyTime, request.work, 0)
}

// recordHint returns the work of a request, in seconds of a standard core. A hint above 0 is the work, and is
// added to the mean of the class. Without a hint, the work is that mean.
func (e *estimator) recordHint(class int, hint time.Duration) float64 {
	estimates := &e.estimates[class]
	work := hint.Seconds()
	if work <= 0 {
		return estimates.work.ValueOr(defaultWorkRatio * e.classes[class].LatencyObjective.Seconds())
	}
	estimates.work.Add(work, estimateGain)
	return work
}

// serviceRate returns the work that the server completes per second, in seconds of a standard core.
func (e *estimator) serviceRate() float64 {
	coreSpeed := e.speed.First / max(e.speed.Second, minSpeedSample)
	return max(coreSpeed, minCoreSpeed) * float64(e.cores)
}

// anyClassLate reports whether the mean latency of any configured class exceeds its latency objective.
func (e *estimator) anyClassLate() bool {
	for i := range e.estimates {
		class := &e.classes[i]
		if !class.Removed && e.estimates[i].latency.ValueOr(0) > class.LatencyObjective.Seconds() {
			return true
		}
	}
	return false
}

// cpuOverloaded reports whether the cores are short of time and requests are late.
func (e *estimator) cpuOverloaded(gauges Gauges) bool {
	return e.anyClassLate() && underCPUPressure(gauges, e.cores)
}

// callsPerRun returns the mean number of calls that a run of a class makes, 1 until it is known.
func (e *estimator) callsPerRun(class int) float64 { return e.estimates[class].callsPerRun.ValueOr(1) }

// serviceTime estimates how long a request takes from its start to its end, calls included.
func (e *estimator) serviceTime(now time.Duration, request *request) time.Duration {
	class := &e.estimates[request.class]
	estimate := request.work * initialRunsPerCore * float64(e.cores) / e.serviceRate()
	if class.cpuTime.Known() {
		estimate = class.cpuTime.At(request.work)
	}
	if e.needsCall(now, request) {
		estimate += class.callsPerRun.ValueOr(1) * e.calls.callTime.ValueOr(defaultCallTime)
	}
	return seconds(estimate)
}

// latestStart returns the latest time at which a request can start and meet its objective.
func (e *estimator) latestStart(now time.Duration, request *request) time.Duration {
	return request.objective - e.serviceTime(now, request)
}

// finishTime estimates when a request would be answered if it were admitted now.
func (e *estimator) finishTime(now time.Duration, request *request) time.Duration {
	wait := e.cpuWait(request)
	if e.needsCall(now, request) {
		wait = max(wait, e.callWait())
	}
	return now + wait + e.serviceTime(now, request)
}

// cpuWait estimates how long a request waits for a core: the time to complete the rest of the running work
// (see runningWorkAhead) and the queued work ahead of the request. The queue of a class with a longer
// objective counts in proportion to the objectives, as only some of it is started before the request.
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

// callWait estimates how long a new request waits for the calls of others. Queued requests that may skip
// their calls do not count, since they skip them when calls are scarce.
func (e *estimator) callWait() time.Duration {
	if !e.calls.delaysCalls() {
		return 0
	}
	ahead := float64(e.calls.waitingCount)
	for i := range e.classes {
		if e.classes[i].mustCall() {
			ahead += float64(e.queue.classes[i].count) * e.estimates[i].callsPerRun.ValueOr(1)
		}
	}
	return e.calls.waitFor(ahead)
}

// needsCall reports whether a request is expected to call the dependency.
func (e *estimator) needsCall(now time.Duration, request *request) bool {
	return e.classes[request.class].CallsDependency && !e.skipsCall(now, request)
}

// skipsCall reports whether a request may skip its call and the expected wait exceeds skipWaitRatio of the
// time left until its objective. The call is then left to requests that must not skip their calls.
func (e *estimator) skipsCall(now time.Duration, request *request) bool {
	mayDegrade := e.classes[request.class].DegradedValueRatio > 0
	return mayDegrade && e.callWait() > scale(request.objective-now, skipWaitRatio)
}

// bottleneck returns the resource that makes a request late. Idle cores beside a non-empty queue show that it
// is calls, whatever the estimates say.
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

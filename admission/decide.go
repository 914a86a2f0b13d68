package admission

// This file is the decision module; its interface (settings, events, actions) is api.go. In reading order:
// tuned values, state, breaker, intake, hold and runs, calls, keys, memory and crowd guards, drain and
// due times, health and advice, start and step.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// Breaker (paper, "googleBreaker": k 1.5, protection 5, 10 s in 40 buckets).
	breakerK              = 1.5             // accepts that one failure needs to be outweighed; source
	BreakerProtectedCalls = 5.0             // calls a window that are never dropped; source
	breakerWindow         = 5 * time.Second // half the source's: troubles last 5 to 20 s; ours
	breakerBuckets        = 20              // 250 ms each, as in the source

	// Intake.
	pressedUse   = 0.9  // gauge of the cores above which the server is pressed; design
	pressedQueue = 2.0  // demand for a core, a core, above which it is pressed; design
	shareDown    = 0.9  // factor on the admitted share a sweep while pressed and late; ours
	shareUp      = 0.02 // added to the share a sweep otherwise; ours
	shareFloor   = 0.05 // the share never falls under this, so that news still comes in; ours
	repeatAim    = 0.4  // part of its aim that a further try is taken to have left; ours
	stormPart    = 0.4  // part of the arrivals that are further tries, or refused, that makes a storm; ours
	lateRefusal  = 0.5  // part of its aim after which a refused request should not be tried elsewhere; ours
	latencyGain  = 0.1  // weight of a new run in the mean latency of its class; ours

	// Hold and runs.
	runsPerCore   = 1.33            // runs on the cores, a core, to begin with; ours
	runsMost      = 2.2             // most that the gauge may raise it to; ours
	demandWanted  = 1.5             // demand a core at which runs are not raised further; ours
	runStep       = 0.25            // change of the limit a sweep; ours
	estGain       = 0.1             // weight of a new run in service estimates; ours
	coldLeast     = 0.1             // part of its speed that a cold server is taken to have at least; ours
	speedMemory   = 2 * time.Second // full use of the cores over which speed is averaged; ours
	probeShare    = 3               // one core in this many goes on probing when nothing can be on time; ours
	workUnknown   = 0.1             // work of a request without a hint, as a part of its aim; ours
	victimScan    = 16              // requests looked at from the back of a hold for the least worth; ours
	victimMargin  = 0.8             // a held request yields to one worth more than 1/this of it; ours
	offeredMemory = 8 * time.Second // over which arrivals and the mix of tenants are seen; ours

	// Calls.
	callsLeast    = 0.37                   // least bound on calls in hand, of the share survived; ours
	callsStart    = 0.5                    // the bound to begin with; ours
	callsRaise    = 0.75                   // the highest it gets while calls are as quick as ever; ours
	callsDown     = 0.95                   // factor on it a sweep while calls are slow; ours
	callsUp       = 0.01                   // added a sweep otherwise; ours
	callsSlow     = 2.5                    // times the best mean time, above which calls are slow; ours
	callsDrift    = 1.001                  // growth of that best a sweep, so that it is found anew; ours
	callsSafe     = 0.9                    // of that share that is never passed in the mean; ours
	callsPace     = 300 * time.Millisecond // of the bound that may be saved up; ours
	callsBuckets  = 50                     // of the time that counts for the fall; ours
	callsMost     = 2                      // tries of one call; ours
	callBackoff   = 100 * time.Millisecond // before a call is tried again; ours
	callsRoom     = 4.0                    // mean times that a call over the share must have; ours
	hangUpSlow    = 2.0                    // mean times after which a call given up has failed; ours
	callsFew      = 0.1                    // least calls a run that are reckoned with; ours
	callGain      = 0.1                    // weight of a new call in its mean time; ours
	waitersPerOut = 1.0                    // waiting for a call, for each in hand, that hold back runs; ours
	skipWait      = 0.3                    // of the time left that a call is waited for, else skipped; ours

	// Guards.
	reuseRoom  = 0.5                    // of the memory in use, up to which answers are kept for reads; ours
	memorySafe = 0.92                   // of the memory; the rest is for what is being read; ours
	crowdSafe  = 0.8                    // of the crowd survived, calls in hand included; ours
	sweepEvery = 100 * time.Millisecond // the periodic timer; ours
	restMost   = 10                     // sweeps from one to the next at rest, gauges are good for 1 s; ours
	dueMargin  = 20 * time.Millisecond  // an answer goes out this long before it is due; ours
	stopMargin = 80 * time.Millisecond  // the last answers go out this long before the process ends; ours

	// Health and advice.
	stayLeast     = 100 * time.Millisecond // shortest advice to stay away; ours
	readWaitMost  = 0.4                    // of the shortest aim that reads wait when it is unwell; ours
	readLate      = 0.08                   // of the shortest aim that reads wait when they are behind; ours
	readGain      = 0.1                    // weight of a new request in that mean; ours
	readFade      = 0.98                   // factor on it a sweep, so that it falls though none comes; ours
	healthLeast   = 500 * time.Millisecond // a health answer stands for this long at least; ours
	creditPerCore = 2.5                    // requests a core that all callers together may have here; ours
	linkPays      = 0.5                    // of callers' idle time: mean gap above which links go soon; ours
	logEvery      = 5 * time.Second        // least time between two log lines on one state; ours
	linkShort     = 500 * time.Millisecond // idle limit when most are idle for longer; ours
)

// ---- Breaker ----------------------------------------------------------------------------------

// dropRatio is the chance that the next call is not made (paper, "googleBreaker", accept).
func dropRatio(total, accepts, protect float64) float64 {
	return max(0, (total-protect-breakerK*accepts)/(total+1))
}

func (c *Controller) dropChance() float64 {
	total, accepts := c.outcomes.totals(c.now)
	return dropRatio(total, accepts, c.protect)
}

// SetProtectedCalls sets how many calls a window are never dropped: BreakerProtectedCalls unless the fleet
// probes in common. Below 0 none is made while none is accepted. Who may probe goes by the best call time.
func (c *Controller) SetProtectedCalls(calls float64) {
	if c.protect = calls; calls > 0 && c.callTime.set {
		c.callTime.v = c.callBest
	}
}

func (c *Controller) feed(o Outcome) {
	accept := 0.0
	if o == OutcomeOK {
		accept = 1
	}
	c.outcomes.add(c.now, 1, accept)
}

// ---- Intake -----------------------------------------------------------------------------------

func (c *Controller) request(e *Event) {
	if c.jobs[e.ID] != nil {
		return
	}
	j := &job{id: e.ID, class: e.Class, tenant: e.Tenant, kb: max(e.MemoryKB, 0), repeat: e.Retry,
		standing: e.FleetRank, spread: e.RetryJitter}
	j.arrived = c.now - max(e.Waited, 0)
	j.first = j.arrived - e.SinceFirstAttempt
	if e.Class < 0 || e.Class >= len(c.classes) {
		c.emit(Action{Kind: ActionReject, ID: e.ID})
		return
	}
	if j.tenant < 0 || j.tenant >= len(c.tenants) {
		j.tenant = 0
	}
	k, cs := &c.s.Classes[j.class], &c.classes[j.class]
	j.work = e.CostHint.Seconds()
	if j.work > 0 {
		cs.work.add(j.work, estGain)
	} else {
		j.work = cs.work.or(workUnknown * k.LatencyObjective.Seconds())
	}
	j.due = j.arrived + k.Deadline
	if e.Deadline > 0 {
		j.due = e.Deadline
	}
	// The aim counts from the first try; how old a further try is, is seldom told.
	aim := k.LatencyObjective
	if j.repeat {
		aim = scale(aim, repeatAim)
	}
	j.aim = min(j.first+aim, j.due)
	j.useful = j.aim
	if k.LateValueRatio > 0 {
		j.useful = j.due
	}
	c.jobs[j.id] = j
	c.memory += j.kb
	if !j.repeat {
		c.tenants[j.tenant].offered.add(c.now, 1, 0)
	}
	c.dues.push(c.answerBy(j), due{dueAnswer, j, j.id})
	c.arrivals.add(c.now, 1, 0)
	if j.repeat {
		c.arrivals.add(c.now, 0, 1)
	}
	c.readWait.add(max(e.Waited, 0).Seconds(), readGain)
	if e.RetryOf != 0 && c.repeats(j, e.RetryOf) {
		return
	}
	c.admit(j)
}

func (c *Controller) admit(j *job) {
	if why, stop := c.turnAway(j); stop {
		c.refuse(j, why)
		return
	}
	c.hold(j)
}

// turnAway decides on reading. First the guards, then the design's share, then what is hopeless.
func (c *Controller) turnAway(j *job) (Reason, bool) {
	k := &c.s.Classes[j.class]
	if c.draining && (j.arrived > c.noticeAt+c.s.DrainGrace || c.finish(j) > c.stopAt-stopMargin) {
		return ReasonDraining, true
	}
	if c.memory > c.memoryLimit() || k.Idempotency == IdempotentByKey && !c.keep(j) {
		return ReasonMemory, true
	}
	if c.onCores >= c.s.Cores && j.standing == RankBelowThreshold {
		return ReasonBelowThreshold, true
	}
	if c.onCores >= c.s.Cores && c.rng.Float64() >= c.share {
		return ReasonCPU, true
	}
	if c.protect < 0 && k.CallsDependency && k.DegradedValueRatio <= 0 {
		return ReasonDependency, true // its call would not be made
	}
	for c.finish(j) > j.aim {
		// Cores that idle beside a hold show that calls are short, whatever the forecast says.
		calls := k.CallsDependency && !c.skips(j) &&
			(float64(c.onCores) < c.runLimit && c.heldN > 0 || c.callWait() > c.coreWait(j))
		why := ReasonCPU
		if calls {
			why = ReasonDependency
		}
		v := c.victim(j, calls)
		if v == nil { // one that waits for its call tells of its recovery; more would run in vain
			return why, c.runs >= c.probes() || calls && c.waitN+c.inHand > 0
		}
		c.refuse(v, why)
	}
	return 0, false
}

// probes is how many runs go on though nothing can be on time, so that recovery is noticed.
func (c *Controller) probes() int { return max(1, c.s.Cores/probeShare) }

// adjustShare is the design's control loop, once a sweep.
func (c *Controller) adjustShare() {
	pressed := c.gauges.CPUUtilization > pressedUse || c.gauges.CPUDemand > pressedQueue*float64(c.s.Cores)
	late := false
	for i := range c.classes {
		k := &c.s.Classes[i]
		late = late || !k.Removed && c.classes[i].latency.or(0) > k.LatencyObjective.Seconds()
	}
	if pressed && late {
		c.share = max(c.share*shareDown, shareFloor)
		return
	}
	c.share = min(c.share+shareUp, 1)
}

// ---- Hold and runs ----------------------------------------------------------------------------

// ServiceRate is the work that this server gets done a second, in seconds on a standard core.
func (c *Controller) ServiceRate() float64 { return c.serviceRate() }

func (c *Controller) serviceRate() float64 {
	return max(c.speed.a/max(c.speed.b, 1e-3), 0.01) * float64(c.s.Cores)
}

// service is how long j takes once it runs, calls included.
func (c *Controller) service(j *job) time.Duration {
	cs := &c.classes[j.class]
	t := j.work * runsPerCore * float64(c.s.Cores) / c.serviceRate()
	if cs.onCore.x.set {
		t = cs.onCore.at(j.work)
	}
	if c.s.Classes[j.class].CallsDependency && !c.skips(j) {
		t += cs.perRun.or(1) * c.callTime.or(0.05)
	}
	return seconds(t)
}

// coreWait is how long j waits for a core: half of what runs, and what is held ahead of it.
func (c *Controller) coreWait(j *job) time.Duration {
	ahead := 0.5 * c.runWork
	if float64(c.onCores) < c.runLimit && c.heldN == 0 {
		return 0
	}
	aim := c.s.Classes[j.class].LatencyObjective.Seconds()
	for i := range c.classes {
		ahead += c.classes[i].heldWork * min(1, aim/c.s.Classes[i].LatencyObjective.Seconds())
	}
	return seconds(ahead / c.serviceRate())
}

// callWait is how long a new request waits for calls that others will make first. Those that may do
// without theirs yield.
func (c *Controller) callWait() time.Duration {
	if c.s.MaxCallsInFlight <= 0 || !c.callTime.set {
		return 0
	}
	ahead := float64(c.waitN)
	for i := range c.classes {
		if c.s.Classes[i].CallsDependency && c.s.Classes[i].DegradedValueRatio <= 0 {
			ahead += float64(c.classes[i].heldN) * c.classes[i].perRun.or(1)
		}
	}
	owed := 0.0 // before the next call may be made where the bound is less than one
	if c.callLimit() < 1 {
		owed = max(-c.callCredit, 0)
	}
	return seconds((ahead*c.callTime.v + owed) / c.callLimit())
}

// skips: j may do without its call, and would wait for it so long that those who may not should have it.
func (c *Controller) skips(j *job) bool {
	return c.s.Classes[j.class].DegradedValueRatio > 0 && c.callWait() > scale(j.aim-c.now, skipWait)
}

// finish is when j would be answered if it were taken now.
func (c *Controller) finish(j *job) time.Duration {
	w := c.coreWait(j)
	if c.s.Classes[j.class].CallsDependency && !c.skips(j) {
		w = max(w, c.callWait())
	}
	return c.now + w + c.service(j)
}

// worth is what j brings for each unit of what is short: calls below, or core time.
func (c *Controller) worth(j *job, calls bool) float64 {
	w := c.s.Classes[j.class].PriorityWeight * c.tenants[j.tenant].factor * c.unit(j)
	if calls {
		return w / max(c.classes[j.class].perRun.or(1), callsFew)
	}
	return w / max(j.work, 1e-3)
}

// unit is the measure by which worth is counted.
func (c *Controller) unit(j *job) float64 {
	if c.s.WeightPerWork {
		return j.work
	}
	return 1
}

// victim finds a held request that is worth clearly less than j, newest first.
func (c *Controller) victim(j *job, calls bool) *job {
	var found *job
	least := c.worth(j, calls) * victimMargin
	for i := range c.classes {
		if calls && !c.s.Classes[i].CallsDependency {
			continue
		}
		list := c.classes[i].hold
		for n := len(list) - 1; n >= max(0, len(list)-victimScan); n-- {
			if v := list[n]; v.state == held && c.jobs[v.id] == v && !v.gone && c.worth(v, calls) < least {
				found, least = v, c.worth(v, calls)
			}
		}
	}
	return found
}

// shed clears the heads of the hold: what is gone or started, and what is too late to be of use. It
// reports whether it refused any: that may have changed the other heads.
func (c *Controller) shed() (refused bool) {
	for i := range c.classes {
		cs := &c.classes[i]
		for len(cs.hold) > 0 {
			if j := cs.hold[0]; j.state == held && !j.gone {
				if !c.tooLate(j) {
					break
				}
				c.refuse(j, ReasonTooLate)
				refused = true
			}
			cs.hold[0] = nil
			cs.hold = cs.hold[1:]
		}
	}
	return refused
}

// next picks the held request that must start first, of the classes that may start now.
func (c *Controller) next(jammed bool) *job {
	var best *job
	var by time.Duration
	for i := range c.classes {
		cs := &c.classes[i]
		if len(cs.hold) == 0 {
			continue
		}
		j := cs.hold[0]
		if jammed && c.s.Classes[i].CallsDependency && cs.perRun.or(1) > 0 && !c.skips(j) {
			continue
		}
		if at := j.aim - c.service(j); best == nil || at < by {
			best, by = j, at
		}
	}
	return best
}

// tooLate: j is not to start any more, unless so little runs that nothing would be learned.
func (c *Controller) tooLate(j *job) bool {
	return c.now+c.service(j) > j.aim && (c.runs >= c.probes() || c.now >= j.useful)
}

// fill makes calls that wait and starts runs as far as every guard allows.
func (c *Controller) fill() {
	c.makeCalls()
	for float64(c.onCores) < c.runLimit && float64(c.runs) < c.crowdLimit() {
		if c.shed() {
			continue
		}
		jammed := float64(c.waitN) >= max(1, waitersPerOut*c.callLimit())
		j := c.next(jammed)
		if j == nil {
			return
		}
		if c.memory+(c.s.RunningMemoryFactor-1)*j.kb > c.memoryLimit() {
			if c.runs == 0 {
				c.refuse(j, ReasonMemory)
				continue
			}
			return
		}
		if c.draining && c.now+c.service(j) > c.stopAt-stopMargin {
			c.refuse(j, ReasonDraining)
			continue
		}
		c.run(j)
	}
}

func (c *Controller) run(j *job) {
	c.unhold(j)
	j.state, j.ran, j.began = running, true, c.now
	c.memory += (c.s.RunningMemoryFactor - 1) * j.kb
	c.runs++
	c.onCores++
	c.runWork += j.work
	if e := c.entries[j.id]; e != nil {
		e.ran = true
	}
	c.emit(Action{Kind: ActionRun, ID: j.id})
	if c.s.CacheTTL > 0 && c.s.Classes[j.class].Idempotency == Safe && c.memory < reuseRoom*c.memoryLimit() {
		c.enter(j, c.s.CacheTTL)
	}
	for _, f := range j.followers {
		c.join(f)
	}
	j.followers = nil
}

func (c *Controller) done(e *Event) {
	j := c.jobs[e.ID]
	if j == nil || j.state < joined {
		return
	}
	k, cs := &c.s.Classes[j.class], &c.classes[j.class]
	if e.Outcome == OutcomeOK && j.state == running {
		core := (e.Took - j.calls).Seconds()
		cs.onCore.add(j.work, core, estGain)
		cs.perRun.add(float64(j.tries), estGain)
		cs.latency.add((c.now - j.arrived - j.calls).Seconds(), latencyGain)
		c.speed.add(c.busy, j.work, 0)
	}
	if e.Outcome == OutcomeCancelled && !j.answered {
		c.emit(Action{Kind: ActionFail, ID: j.id})
	}
	if (e.Outcome == OutcomeCancelled || e.Outcome == OutcomeFailed) && k.Idempotency == Safe && j.kept {
		c.forget(j)
	}
	c.leave(j)
}

// refuse turns away a request that never ran.
func (c *Controller) refuse(j *job, why Reason) {
	if c.now-j.first > scale(j.aim-j.first, lateRefusal) {
		why = ReasonTooLate // too little is left for a try elsewhere
	}
	// A storm: others are as full, and each try elsewhere costs reading and mostly a new connection. Where
	// further tries are not marked, the part that is refused here stands for them.
	if why == ReasonCPU && !c.s.MarksRetries {
		c.arrivals.add(c.now, 0, 1)
	}
	storm := why == ReasonCPU && c.arrivals.b > stormPart*c.arrivals.a
	if j.standing != RankUnknown {
		storm = why == ReasonBelowThreshold || why == ReasonCPU && j.standing != RankElsewhere
	}
	a := Action{Kind: ActionReject, ID: j.id, Reason: why,
		NoRetryElsewhere: why == ReasonDependency || why == ReasonTooLate || storm}
	if !a.NoRetryElsewhere {
		a.RetryAfter = min(c.stayAway(why)+j.spread, c.s.MaxRetryAfter)
	}
	// Reads that are behind take the cores from all else. Advice that ends before a caller would have come
	// again is none: in a large fleet each comes seldom.
	if gap := c.callerGap(); c.readWait.v > readLate*c.shortest().Seconds() && gap > stayLeast {
		a.RetryAfter = max(a.RetryAfter, min(gap, c.s.MaxRetryAfter))
	}
	c.emit(a)
	c.leave(j)
}

// fail answers with an error; running work is stopped where that is possible and loses nothing.
func (c *Controller) fail(j *job) {
	if j.answered {
		return
	}
	c.emit(Action{Kind: ActionFail, ID: j.id})
	c.abandon(j)
}

// abandon marks that no answer is owed any more.
func (c *Controller) abandon(j *job) {
	j.answered = true
	if j.state < running {
		c.leave(j)
		return
	}
	// A keyed run goes on: its result answers the tries that follow.
	if j.state == running && c.s.Halt != HaltOff && c.s.Classes[j.class].Idempotency != IdempotentByKey {
		c.emit(Action{Kind: ActionStop, ID: j.id})
	}
}

// ---- Calls ------------------------------------------------------------------------------------

func (c *Controller) callLimit() float64 { return c.callShare * c.s.MaxCallsInFlight }

// adjustCalls lowers the bound on calls in hand while they take far longer than they did at best: what
// lies below is crowded, and more at once only makes it slower. It also answers a dependency that is slow
// by itself; there it costs some calls that would have been in time, hence the floor.
func (c *Controller) adjustCalls() {
	if !c.callTime.set {
		return
	}
	c.callBest = min(c.callBest*callsDrift, c.callTime.v)
	if c.callTime.v > callsSlow*c.callBest {
		c.callShare = max(c.callShare*callsDown, callsLeast)
		return
	}
	c.callShare = min(c.callShare+callsUp, callsRaise)
}

func (c *Controller) wantsCall(e *Event) {
	j := c.jobs[e.ID]
	if j == nil || j.state != running {
		return
	}
	c.onCores--
	c.queueCall(j)
}

// skipWaiting lets runs that wait for a call go on without, once that is the better part.
func (c *Controller) skipWaiting() {
	c.callers.drop(func(j *job) bool {
		skip := j.state == waiting && !j.gone && !j.answered && c.skips(j)
		if skip {
			c.dropped(j)
		}
		return skip
	})
}

// mayCall bounds calls in hand and returns the cap of the next one, 0 for none. Up to the bound any is
// made; one more while the mean is under it: a small share is no whole number. What was left is saved up for
// callsPace only, since many nodes would spend it at once; what was overdrawn is paid back.
// A call that passes the share which the dependency survives is cut so short that the mean stays below it.
func (c *Controller) mayCall(left time.Duration) time.Duration {
	if c.s.MaxCallsInFlight <= 0 {
		return left
	}
	n, over := float64(c.inHand+c.lingers+1), c.s.CallsWindow.Seconds()
	if limit := c.callLimit(); n > limit && (n >= limit+1 || c.callCredit <= 0) {
		return 0
	}
	spent, _ := c.inCalls.totals(c.now)
	if n <= callsSafe*c.s.MaxCallsInFlight {
		return left
	}
	room := seconds((callsSafe*c.s.MaxCallsInFlight*over-spent)/n) - c.s.AbandonedCallTime
	if room < seconds(callsRoom*c.callTime.or(0)) {
		return 0
	}
	return min(left, room)
}

func (c *Controller) makeCalls() {
	c.skipWaiting()
	for {
		j, ok := c.callers.head()
		if !ok {
			return
		}
		if j.state != waiting || j.gone || j.answered {
			c.callers.pop()
			continue
		}
		left := j.useful - c.now
		if left <= 0 {
			c.callers.pop()
			c.fail(j)
			continue
		}
		if left = c.mayCall(left); left <= 0 {
			return
		}
		c.callers.pop()
		if c.rng.Float64() < c.dropChance() {
			c.dropped(j)
			continue
		}
		c.waitN--
		c.inHand++
		j.calls += c.now - j.asked
		j.state, j.asked = calling, c.now
		j.tries++
		c.emit(Action{Kind: ActionCall, ID: j.id, Timeout: left})
	}
}

// dropped goes on without the call where the class allows it; else the request fails, since it has run.
func (c *Controller) dropped(j *job) {
	if c.s.Classes[j.class].DegradedValueRatio > 0 {
		c.waitN--
		c.resume(j)
		c.emit(Action{Kind: ActionSkipCall, ID: j.id})
		return
	}
	c.fail(j)
}

func (c *Controller) callResult(e *Event) {
	j := c.jobs[e.ID]
	if j == nil || j.state != calling {
		return
	}
	c.feed(e.Outcome)
	c.inHand--
	if e.Outcome == OutcomeTimedOut || e.Outcome == OutcomeAborted {
		c.linger()
	}
	c.callTime.add(e.Took.Seconds(), callGain)
	if e.Outcome == OutcomeOK {
		c.resume(j)
		return
	}
	j.calls += c.now - j.asked
	j.state, j.asked = waiting, c.now
	c.waitN++
	again := e.Outcome.NeverRan() || c.s.Classes[j.class].Idempotency == Safe && e.Outcome != OutcomeTimedOut
	switch {
	case j.answered:
	case again && j.tries < callsMost && c.now+callBackoff < j.useful:
		c.dues.push(c.now+callBackoff, due{dueRetry, j, j.id})
	case c.s.Classes[j.class].DegradedValueRatio > 0:
		c.dropped(j)
	default:
		c.fail(j)
	}
}

// hangUp counts a call that is abandoned because its request ended.
func (c *Controller) hangUp(j *job) {
	c.inHand--
	if c.now-j.asked > seconds(hangUpSlow*c.callTime.or(0)) {
		c.feed(OutcomeTimedOut)
	}
	c.linger()
}

// ---- Keys -------------------------------------------------------------------------------------

// keep enters a keyed request before it may run; false means that there is no room, hence no run.
func (c *Controller) keep(j *job) bool {
	if c.memory+c.s.KeyMemoryKB > c.memoryLimit() {
		return false
	}
	c.enter(j, max(j.arrived+c.s.Classes[j.class].IdempotencyWindow-c.now, c.s.Tick))
	return true
}

// repeats deals with a try of a request whose earlier try is known here; false means that it is like a
// first one. Without a record the earlier try may have run, and only its result may answer.
func (c *Controller) repeats(j *job, earlier RequestID) bool {
	if k := &c.s.Classes[j.class]; k.Idempotency == Unsafe || k.Idempotency == Safe && c.s.CacheTTL <= 0 {
		return false
	}
	lead := c.jobs[earlier]
	if lead != nil && lead.state == following {
		lead = lead.lead
	}
	switch full := c.memory > c.memoryLimit(); {
	case lead != nil && lead.state == held && full:
		c.refuse(j, ReasonMemory)
	case lead != nil && lead.state == held:
		c.follow(j, lead)
	case full:
		c.fail(j)
	default:
		c.join(j)
	}
	return true
}

func (c *Controller) join(j *job) {
	if !j.gone {
		j.state = joined
		c.emit(Action{Kind: ActionReuse, ID: j.id})
	}
}

// inherit hands the place of a try that ended without a run to the first of its followers that still
// waits; the others follow that one, so that a keyed request never gets two runs.
func (c *Controller) inherit(followers []*job) {
	var heir *job
	for _, f := range followers {
		switch {
		case f.gone:
		case heir == nil:
			if c.admit(f); !f.gone {
				heir = f
			}
		case heir.state == held:
			c.follow(f, heir)
		default:
			c.join(f)
		}
	}
}

// ---- Memory and crowd guards ------------------------------------------------------------------

func (c *Controller) memoryLimit() float64 { return memorySafe * c.s.MemoryKB }

// crowdLimit bounds all runs, those at calls included: they may all come back to the cores at once.
func (c *Controller) crowdLimit() float64 {
	speed := 1.0
	if age := c.now - c.started; c.s.WarmingUp && age < c.s.SlowStartTime {
		speed = c.s.SlowStartSpeedRatio + (1-c.s.SlowStartSpeedRatio)*float64(age)/float64(c.s.SlowStartTime)
	}
	return max(1, crowdSafe*float64(c.s.Cores)*(1+(c.s.MaxConcurrencyPerCore-1)*speed))
}

// adjustRuns lets more run while cores idle though work is held, and fewer while they crowd.
func (c *Controller) adjustRuns() {
	cores := float64(c.s.Cores)
	switch {
	case c.gauges.CPUDemand > demandWanted*cores:
		c.runLimit -= runStep
	case c.heldN > 0 && c.gauges.CPUDemand >= 0 && c.gauges.CPUDemand < demandWanted*cores:
		c.runLimit += runStep
	}
	c.runLimit = min(max(c.runLimit, cores), runsMost*cores)
}

// ---- Drain and due times ----------------------------------------------------------------------

func (c *Controller) notice(e *Event) {
	if c.draining {
		return
	}
	c.draining, c.noticeAt, c.stopAt = true, c.now-e.Waited, e.StopAt
	ids := make([]RequestID, 0, len(c.jobs))
	for id := range c.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		j := c.jobs[id]
		c.dues.push(c.answerBy(j), due{dueAnswer, j, id})
	}
	c.emit(Action{Kind: ActionLog, Text: "drain begins"})
	if e.Replaced {
		return
	}
	c.emit(Action{Kind: ActionHealth, Healthy: false, Cached: true})
	switch c.s.Advert {
	case AdvertLevel:
		c.emit(Action{Kind: ActionAdvertise, Value: 1}) // no request ranks above it
	case AdvertCredit, AdvertWeight:
		c.emit(Action{Kind: ActionAdvertise, Value: 0})
	}
}

// answerBy is when j must have its answer: a little before it is due, and before this process ends.
func (c *Controller) answerBy(j *job) time.Duration {
	at := j.due - dueMargin
	if c.draining {
		at = min(at, c.stopAt-stopMargin)
	}
	return at
}

func (c *Controller) expire() {
	for !c.dues.empty() {
		d, _ := c.dues.head()
		if !c.dead(d) && c.dues.headAt() > c.now {
			return
		}
		c.dues.pop()
		if c.dead(d) {
			continue
		}
		switch d.kind {
		case dueAnswer:
			if d.job.state <= following {
				c.refuse(d.job, ReasonTooLate)
			} else {
				c.fail(d.job)
			}
		case dueRetry:
			c.waitN--
			d.job.calls += c.now - d.job.asked
			c.queueCall(d.job)
		case dueLinger:
			c.lingers--
		case dueEntry:
			if e := c.entries[d.id]; e != nil {
				c.memory -= c.s.KeyMemoryKB
				delete(c.entries, d.id)
			}
		}
	}
}

func (c *Controller) goneEvent(e *Event) {
	j := c.jobs[e.ID]
	if j == nil || j.answered {
		return
	}
	c.abandon(j)
}

// ---- Health and advice ------------------------------------------------------------------------

func (c *Controller) stayAway(why Reason) time.Duration {
	if !c.s.SendsRetryAfter && c.s.MaxRetryAfter <= 0 {
		return 0
	}
	if why == ReasonDraining {
		return c.s.MaxRetryAfter
	}
	return min(max(seconds(c.heldWork/c.serviceRate()/2), stayLeast), c.s.MaxRetryAfter)
}

// callerGap is the mean time between two requests of one caller here.
func (c *Controller) callerGap() time.Duration {
	return scale(offeredMemory, float64(c.s.Clients)/max(c.arrivals.a, 1))
}

// reports tells the operators of changes of state; nothing is decided by it.
func (c *Controller) reports() {
	c.report(&c.logs[0], c.dropChance() > 0, "breaker drops calls")
	c.report(&c.logs[1], c.callShare <= callsLeast, "bound on calls at its least")
	c.report(&c.logs[2], c.share <= shareDown, "admitted share lowered")
	c.report(&c.logs[3], c.memory > c.memoryLimit(), "memory full, requests refused")
	c.report(&c.logs[4], c.unwell, "unwell: requests wait long to be read")
}

// shortest is the shortest aim of all classes.
func (c *Controller) shortest() time.Duration {
	aim := time.Duration(math.MaxInt64)
	for _, k := range c.s.Classes {
		if !k.Removed {
			aim = min(aim, k.LatencyObjective)
		}
	}
	return aim
}

// adjustHealth answers checks badly for a while when requests wait so long to be read that this server
// reads for nobody: refusing is not free, and a caller that comes seldom has forgotten any advice. It may
// be off half of the time at most, so that a fleet in the same trouble is thinned out and not emptied.
func (c *Controller) adjustHealth() {
	c.readWait.v *= readFade
	bad := !c.unwell && c.readWait.v > readWaitMost*c.shortest().Seconds()
	if c.draining || c.withdrawn || bad == c.unwell || c.now < c.healthAt+healthLeast {
		return
	}
	c.unwell, c.healthAt = bad, c.now
	c.emit(Action{Kind: ActionHealth, Healthy: !bad, Cached: true})
}

// withdraw answers checks badly for as long as operators want front ends elsewhere. What still comes is
// dealt with as ever: front ends hear of it late.
func (c *Controller) withdraw(on bool) {
	c.withdrawn = on
	if !c.draining {
		c.unwell, c.healthAt = false, c.now
		c.emit(Action{Kind: ActionHealth, Healthy: !on, Cached: true})
	}
}

// adjustLinks: an open connection takes from the cores and from a table whose size is not told; a new one
// costs work once. Where a caller comes back well within the time that callers keep an idle one, they stay
// as callers like; where it seldom does, they go soon, before hundreds of rare callers fill the table.
func (c *Controller) adjustLinks() {
	c.arrivals.fade(c.now)
	callers := max(float64(c.s.Clients), c.gauges.Connections)
	limit := c.s.IdleTimeout
	if callers*offeredMemory.Seconds() > linkPays*limit.Seconds()*c.arrivals.a {
		limit = min(limit, linkShort)
	}
	if limit != c.idleSaid {
		c.idleSaid = limit
		c.emit(Action{Kind: ActionIdleTimeout, Duration: limit})
	}
}

// weigh sets how much of its worth a request of each tenant keeps: traffic over its share counts little.
func (c *Controller) weigh() {
	for i := range c.tenants {
		t := &c.tenants[i]
		t.offered.fade(c.now)
		rate := t.offered.a / offeredMemory.Seconds()
		t.factor = 1
		if i < len(c.s.Tenants) && c.s.Tenants[i].QuotaPerSecond > 0 {
			quota := c.s.Tenants[i].QuotaPerSecond / float64(max(c.s.FleetSize, 1))
			t.factor = min(1, max(quota/max(rate, 1e-9), c.s.OverQuotaValueRatio))
		}
	}
}

// ---- Start and step ---------------------------------------------------------------------------

// New returns a controller for one server that starts at now. It fails, naming the field, on
// settings that cannot be served.
func New(s Settings, seed uint64, now time.Duration) (*Controller, error) {
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c := &Controller{s: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), now: now, started: now,
		jobs: map[RequestID]*job{}, entries: map[RequestID]*entry{}, share: 1,
		outcomes: newRing(breakerWindow, breakerBuckets),
		inCalls:  newRing(max(s.CallsWindow, time.Second), callsBuckets),
		runLimit: runsPerCore * float64(s.Cores), gauges: Gauges{-1, -1, -1, -1}, sweepAt: now,
		callShare: callsStart, callBest: 1e9, protect: BreakerProtectedCalls}
	c.callCredit = c.callLimit() * callsPace.Seconds()
	c.outcomes.advance(now)
	c.inCalls.advance(now)
	c.speed = decay{tau: speedMemory, a: float64(s.Cores) / 2, b: float64(s.Cores) / 2}
	if s.WarmingUp {
		c.speed.a *= max(s.SlowStartSpeedRatio, coldLeast)
	}
	c.arrivals.tau, c.idleSaid = offeredMemory, s.IdleTimeout
	c.makeRoom()
	c.weigh()
	return c, nil
}

// Reconfigure takes over new settings while requests are in hand. Classes are known by their places: those
// that there were stay where they are, and new ones follow. A server is cold once, at its start.
func (c *Controller) Reconfigure(s Settings) error {
	if err := s.check(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if len(s.Classes) < len(c.classes) {
		return fmt.Errorf("settings: Classes: %d of %d left", len(s.Classes), len(c.classes))
	}
	s.WarmingUp = c.s.WarmingUp
	if s.CallsWindow != c.s.CallsWindow {
		c.inCalls = newRing(max(s.CallsWindow, time.Second), callsBuckets)
		c.inCalls.advance(c.now)
	}
	c.s = s
	c.makeRoom()
	c.weigh()
	c.recount()
	return nil
}

// sweep is the periodic part of the decisions.
func (c *Controller) sweep() {
	c.shed() // though no core is free
	c.weigh()
	c.adjustShare()
	c.adjustRuns()
	c.adjustCalls()
	c.adjustLinks()
	c.adjustHealth()
	c.reports()
}

// atRest: nothing is in hand and nothing recovers, so that sweeps would find what the last one found. They
// are made up for when something happens, or when restMost have come together.
func (c *Controller) atRest() bool {
	return len(c.jobs) == 0 && !c.draining && c.lingers == 0 && c.share == 1 && !c.unwell &&
		(c.callShare >= callsRaise || !c.callTime.set) && c.gauges.CPUDemand >= 0 && c.gauges.CPUDemand < 1
}

// Step takes the events of one batch, all at now, and appends the actions that answer them. A batch
// without events is legal; the first one may be empty and starts the timers.
func (c *Controller) Step(now time.Duration, events []Event, actions []Action) []Action {
	c.out = actions
	c.pass(now)
	if !c.booted {
		c.booted = true
		c.emit(Action{Kind: ActionHealth, Healthy: true, Cached: true})
		if c.s.Advert == AdvertCredit {
			all := creditPerCore * float64(c.s.Cores)
			c.emit(Action{Kind: ActionAdvertise, Value: all / float64(max(c.s.Clients, 1))})
		}
	}
	c.makeUp()
	for i := range events {
		c.event(&events[i])
	}
	c.expire()
	if c.now >= c.sweepAt {
		c.sweepAt = c.now + sweepEvery
		c.sweep()
	}
	c.fill()
	c.wake()
	actions, c.out = c.out, nil
	return actions
}

package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// The controller's state: plain fields and their bookkeeping, no decisions.

type state uint8

const (
	reading state = iota // not yet taken: in no sum of the hold
	held
	following // held; waits for the try that it repeats to run or go
	joined    // waits for the answer of the try that it repeats
	running   // on the cores, or waiting for disk
	waiting   // for a call to be made
	calling
)

type job struct {
	id                    RequestID
	class, tenant         int
	state                 state
	standing              FleetRank
	answered, ran, repeat bool
	kept, gone            bool
	kb                    float64
	work                  float64 // seconds on a standard core
	arrived, aim, useful  time.Duration
	first                 time.Duration // when its caller sent the first try, as far as known
	due, began, asked     time.Duration
	spread                time.Duration // of advice to stay away
	calls                 time.Duration // spent waiting for calls and in them
	tries                 int
	lead                  *job // that it follows
	followers             []*job
}

type classState struct {
	hold     []*job // in order of arrival
	heldN    int
	heldWork float64
	work     mean // work of a request
	onCore   fit  // time on the cores for a given work
	perRun   mean // calls a run
	latency  mean // arrival to end, less calls
}

type tenantState struct {
	offered decay // a: requests
	factor  float64
}

type entry struct {
	expires time.Duration
	ran     bool
}

type dueKind uint8

const (
	dueAnswer dueKind = iota
	dueRetry
	dueLinger
	dueEntry
)

type due struct {
	kind dueKind
	job  *job
	id   RequestID
}

// Controller decides for one server. It is not safe for use by several goroutines at once.
type Controller struct {
	s       Settings
	rng     *rand.Rand
	now     time.Duration
	started time.Duration
	booted  bool
	out     []Action

	jobs    map[RequestID]*job
	classes []classState
	tenants []tenantState
	entries map[RequestID]*entry
	dues    queue[due]
	callers queue[*job] // waiting for a call, by the end of their useful time

	outcomes            *ring   // calls, accepts
	protect             float64 // calls a window that the breaker never drops
	callCredit          float64 // call-seconds under the bound, or over it
	inCalls             *ring   // call-seconds in hand
	share               float64
	runLimit            float64
	busy                time.Duration // full use of all cores so far
	speed               decay         // a: work done, b: core-seconds used
	callTime            mean
	arrivals            decay         // a: all that were read, b: those marked as further tries
	readWait            mean          // seconds between reaching the machine and being read
	withdrawn           bool          // by an operator
	unwell              bool          // health checks are answered badly
	healthAt            time.Duration // since then
	idleSaid            time.Duration // idle limit in force
	callShare, callBest float64       // bound on calls in hand, of the share; best mean time

	memory                         float64
	runs, onCores, inHand, lingers int // runs in all, on the cores, calls in hand, abandoned ones
	heldN, waitN                   int
	heldWork, runWork              float64
	gauges                         Gauges
	logs                           [5]condition // what the operators were told last
	wakeAt, sweepAt                time.Duration
	resting                        bool // sweeps are left out
	draining                       bool
	noticeAt, stopAt               time.Duration
}

func (c *Controller) hold(j *job) {
	cs := &c.classes[j.class]
	j.state = held
	cs.hold = append(cs.hold, j)
	cs.heldN++
	cs.heldWork += j.work
	c.heldN++
	c.heldWork += j.work
}

// unhold takes j out of the sums; its place in the hold is passed over later.
func (c *Controller) unhold(j *job) {
	cs := &c.classes[j.class]
	cs.heldN--
	c.heldN--
	cs.heldWork = max(cs.heldWork-j.work, 0)
	c.heldWork = max(c.heldWork-j.work, 0)
}

func (c *Controller) follow(j, lead *job) {
	j.state, j.lead = following, lead
	lead.followers = append(lead.followers, j)
}

// pass brings the sums that run with time up to now.
func (c *Controller) pass(now time.Duration) {
	if dt := now - c.now; dt > 0 {
		used := float64(min(c.onCores, c.s.Cores))
		c.busy += time.Duration(float64(dt) * used / float64(c.s.Cores))
		c.speed.add(c.busy, 0, dt.Seconds()*used)
		limit := c.callLimit()
		c.callCredit += dt.Seconds() * (limit - float64(c.inHand+c.lingers))
		next := math.Floor(limit) + 1
		most := limit * callsPace.Seconds() * (next - limit) / next // lasts for callsPace at next calls in hand
		c.callCredit = max(min(c.callCredit, most), -limit*c.s.CallsWindow.Seconds())
		c.inCalls.add(now, dt.Seconds()*float64(c.inHand+c.lingers), 0)
		c.now = now
	}
}

// makeRoom has a place for each class and tenant of the settings.
func (c *Controller) makeRoom() {
	c.classes = append(c.classes, make([]classState, len(c.s.Classes)-len(c.classes))...)
	for len(c.tenants) < max(len(c.s.Tenants), 1) {
		c.tenants = append(c.tenants, tenantState{offered: decay{tau: offeredMemory}, factor: 1})
	}
}

// recount sums up the memory anew, which depends on the settings.
func (c *Controller) recount() {
	c.memory = float64(len(c.entries)) * c.s.KeyMemoryKB
	for _, j := range c.jobs {
		c.memory += j.kb
		if j.state >= running {
			c.memory += (c.s.RunningMemoryFactor - 1) * j.kb
		}
	}
}

func (c *Controller) emit(a Action) { c.out = append(c.out, a) }

func seconds(v float64) time.Duration { return time.Duration(min(v, 1e6) * float64(time.Second)) }

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// leave ends j and gives back what it took.
func (c *Controller) leave(j *job) {
	switch j.state {
	case held:
		c.unhold(j)
	case running:
		c.onCores--
	case waiting:
		c.waitN--
	case calling:
		c.hangUp(j)
	}
	c.memory -= j.kb
	if j.state >= running {
		c.memory -= (c.s.RunningMemoryFactor - 1) * j.kb
		c.runs--
		c.runWork = max(c.runWork-j.work, 0)
	}
	j.gone = true
	delete(c.jobs, j.id)
	if j.kept && !j.ran {
		c.forget(j)
	}
	followers := j.followers
	j.followers = nil
	c.inherit(followers)
}

func (c *Controller) event(e *Event) {
	switch e.Kind {
	case EventRequest:
		c.request(e)
	case EventDone:
		c.done(e)
	case EventCancelled:
		c.goneEvent(e)
	case EventCallNeeded:
		c.wantsCall(e)
	case EventCallDone:
		c.callResult(e)
	case EventDrain:
		c.notice(e)
	case EventDeregister, EventReregister:
		c.withdraw(e.Kind == EventDeregister)
	case EventTimer:
		c.gauges = e.Gauges
	}
}

func (c *Controller) enter(j *job, keepFor time.Duration) {
	j.kept = true
	c.memory += c.s.KeyMemoryKB
	c.entries[j.id] = &entry{expires: c.now + keepFor}
	c.dues.push(c.now+keepFor, due{kind: dueEntry, id: j.id})
	c.emit(Action{Kind: ActionRemember, ID: j.id, Duration: keepFor})
}

func (c *Controller) forget(j *job) {
	j.kept = false
	if e := c.entries[j.id]; e != nil && e.expires > c.now {
		c.memory -= c.s.KeyMemoryKB
		c.emit(Action{Kind: ActionForget, ID: j.id})
		delete(c.entries, j.id)
	}
}

func (c *Controller) queueCall(j *job) {
	j.state, j.asked = waiting, c.now
	c.waitN++
	c.callers.push(j.useful, j)
}

func (c *Controller) resume(j *job) {
	j.calls += c.now - j.asked
	j.state = running
	c.onCores++
}

func (c *Controller) linger() {
	if c.s.AbandonedCallTime > 0 {
		c.lingers++
		c.dues.push(c.now+c.s.AbandonedCallTime, due{kind: dueLinger})
	}
}

// dead: nothing is to be done about d any more.
func (c *Controller) dead(d due) bool {
	switch d.kind {
	case dueAnswer:
		return d.job.gone || d.job.answered
	case dueRetry:
		return d.job.gone || d.job.answered || d.job.state != waiting
	}
	return false
}

// makeUp makes the sweeps that were left out at rest, before anything new is looked at: they then find what each
// would have found at its time.
func (c *Controller) makeUp() {
	c.sweepAt = max(c.sweepAt, c.now-restMost*sweepEvery) // a machine may stand still for longer
	for ; c.resting && c.sweepAt < c.now; c.sweepAt += sweepEvery {
		c.sweep()
	}
	c.resting = false
}

// wake asks for the next timer: the sweep, or an earlier due time.
func (c *Controller) wake() {
	next := c.sweepAt
	if c.resting = c.atRest(); c.resting {
		next += (restMost - 1) * sweepEvery
	}
	if !c.dues.empty() {
		next = min(next, c.dues.headAt())
	}
	if c.wakeAt <= c.now || next < c.wakeAt {
		c.wakeAt = max(next, c.now+1)
		c.emit(Action{Kind: ActionWake, At: c.wakeAt})
	}
}

// condition is a state that the operators are told of, and when they last were.
type condition struct {
	on   bool
	told time.Duration
}

// report logs that a state begins or ends, each state once in logEvery at most.
func (c *Controller) report(k *condition, on bool, what string) {
	if on == k.on || c.now < k.told+logEvery && k.told > 0 {
		return
	}
	k.on, k.told = on, max(c.now, 1)
	if on {
		c.emit(Action{Kind: ActionLog, Text: what + ": begins"})
	} else {
		c.emit(Action{Kind: ActionLog, Text: what + ": ends"})
	}
}

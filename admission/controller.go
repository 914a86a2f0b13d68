package admission

import (
	"math/rand/v2"
	"time"
)

// Controller decides for one server. Each of its parts has one rule; the controller passes them what happens
// and asks them in order. It belongs to one goroutine.
type Controller struct {
	settings Settings
	now      time.Duration // of the batch that is processed
	gauges   Gauges        // as last measured
	requests map[RequestID]*request
	timers   timers
	actions  actionBuffer

	queue            requestQueue
	scheduler        runScheduler
	runs             *concurrencyLimiter
	calls            callScheduler
	estimator        *estimator
	values           requestValues
	admitProbability admitProbability
	memory           memoryBudget
	keys             keyTable
	advisor          clientAdvisor
	drain            drain
	health           health
	conditions       conditionReporter
}

// New returns a controller for a server that starts at now. The error is a *SettingsError, which names the
// field that cannot be served. Random choices follow from seed.
func New(settings Settings, seed uint64, now time.Duration) (*Controller, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	const randomStream = 0x9e3779b97f4a7c15
	rng := rand.New(rand.NewPCG(seed, randomStream))
	runs := newConcurrencyLimiter(now, &settings)
	limiter := newCallLimiter(now, &settings)
	controller := &Controller{
		now:              now,
		gauges:           UnknownGauges(),
		requests:         map[RequestID]*request{},
		timers:           timers{sweepAt: now},
		runs:             runs,
		admitProbability: newAdmitProbability(rng),
		advisor:          newClientAdvisor(&settings),
	}
	queue := &controller.queue
	estimator := newEstimator(&settings, queue, runs, limiter)
	controller.estimator = estimator
	controller.values.estimator = estimator
	controller.scheduler = runScheduler{queue: queue, estimator: estimator, runs: runs, calls: limiter}
	controller.keys = newKeyTable(&controller.memory, &controller.timers, &controller.actions)
	controller.calls = callScheduler{
		limiter:   limiter,
		breaker:   newCircuitBreaker(now),
		estimator: estimator,
		runs:      runs,
		timers:    &controller.timers,
		actions:   &controller.actions,
		rng:       rng,
	}
	controller.configure(settings)
	return controller, nil
}

// Step processes the events of one batch, all at now, and appends the actions that answer them. A batch may
// be empty. The first step starts the timers: from then on ActionWake tells the owner when to step
// next at the latest.
func (c *Controller) Step(now time.Duration, events []Event, actions []Action) []Action {
	c.actions.pending = actions
	c.advanceTime(now)
	c.announceStart()
	c.timers.catchUp(now, c.sweep)
	for i := range events {
		c.handleEvent(&events[i])
	}
	c.expireDeadlines()
	if c.timers.shouldSweep(c.now) {
		c.sweep()
	}
	c.dispatch()
	if at, ok := c.timers.schedule(c.now, c.isIdle()); ok {
		c.actions.emit(Action{Kind: ActionWake, At: at})
	}
	return c.actions.take()
}

// ServiceRate is the work that this server completes per second, in seconds of a standard core.
func (c *Controller) ServiceRate() float64 { return c.estimator.serviceRate() }

// SetProtectedCalls sets the number of protected calls in the formula of the circuit breaker (breaker.go),
// which is BreakerProtectedCalls unless the fleet coordinates its probes. With 5, 1 or 0, no call is dropped
// while at most so many calls are in the window. With -1, calls are dropped with a probability that reaches 1
// only once no accepted call is left in the window, and requests that must call are rejected. Above 0 the
// estimate of the call time is also reset to the best one, so that a probe gets enough time. It is called
// between two steps.
func (c *Controller) SetProtectedCalls(calls float64) { c.calls.setProtectedCalls(calls) }

// advanceTime brings the sums that grow with time up to now.
func (c *Controller) advanceTime(now time.Duration) {
	elapsed := now - c.now
	if elapsed <= 0 {
		return
	}
	c.estimator.advance(elapsed)
	c.calls.limiter.advance(now, elapsed)
	c.now = now
}

// announceStart emits, in the first step, the health state that checks are answered with and the initial
// advertised value, if there is one.
func (c *Controller) announceStart() {
	if !c.timers.start() {
		return
	}
	c.actions.emit(Action{Kind: ActionHealth, Health: c.health.answer()})
	if credit, ok := c.advisor.advertiser.atStart(); ok {
		c.actions.emit(Action{Kind: ActionAdvertise, Value: credit})
	}
}

// handleEvent passes an event to the part that deals with it. Events about requests that have ended are
// ignored.
func (c *Controller) handleEvent(event *Event) {
	request := c.requests[event.ID]
	switch event.Kind {
	case EventRequest:
		c.receive(event.ID, &event.Arrival)
	case EventDone:
		c.completeRun(request, event.Completion)
	case EventCancelled:
		c.settle(request)
	case EventCallNeeded:
		c.calls.handleCallNeeded(c.now, request)
	case EventCallDone:
		c.calls.handleCallCompleted(c.now, request, event.Completion)
	case EventDrain:
		c.startDrain(event.Drain)
	case EventDeregister, EventReregister:
		deregistered := event.Kind == EventDeregister
		if c.health.setDeregistered(c.now, deregistered, c.drain.started) {
			c.actions.emit(Action{Kind: ActionHealth, Health: c.health.answer()})
		}
	case EventTimer:
		c.gauges = event.Gauges
	}
}

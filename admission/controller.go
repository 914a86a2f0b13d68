package admission

import (
	"math/rand/v2"
	"time"
)

// Controller makes the admission decisions for one server. Each of its parts implements one rule; the
// controller passes events to the parts and runs them in a fixed order. It is not safe for concurrent use.
type Controller struct {
	settings Settings
	now      time.Duration // time of the batch that is processed
	gauges   Gauges        // latest measurements of the server
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

// New returns a controller for a server that starts at now. The seed determines all random choices. If a
// field of the settings is invalid, New returns a *SettingsError that names it.
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
		timers:           timers{nextPeriodicAt: now},
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

// Step processes a batch of events that all happened at now, and appends the resulting actions to actions.
// The batch may be empty. The first step starts the timers. From then on, ActionWake tells the owner the
// latest time of the next step.
func (c *Controller) Step(now time.Duration, events []Event, actions []Action) []Action {
	c.actions.pending = actions
	c.advanceTime(now)
	c.emitInitialState()
	c.timers.catchUp(now, c.runPeriodic)
	for i := range events {
		c.handleEvent(&events[i])
	}
	c.expireDeadlines()
	c.timers.purgeObsolete(c.keys.forgotten)
	if c.timers.periodicDue(c.now) {
		c.runPeriodic()
	}
	c.dispatch()
	if at, ok := c.timers.schedule(c.now, c.isIdle()); ok {
		c.actions.emit(Action{Kind: ActionWake, At: at})
	}
	return c.actions.take()
}

// ServiceRate returns the work that the server completes per second, in seconds of a standard core.
func (c *Controller) ServiceRate() float64 { return c.estimator.serviceRate() }

// SetProtectedCalls sets the number of protected calls in the formula of the circuit breaker (breaker.go).
// The default is BreakerProtectedCalls; other values are set while the fleet coordinates its probes of the
// dependency.
//
//   - With 0, 1 or 5, no call is dropped while the window holds at most that many calls.
//   - With -1, calls are dropped with a probability that reaches 1 only when the window holds no accepted
//     call, and requests that must call the dependency are rejected.
//
// A value above 0 also resets the estimated call time to the best one, so that a probe gets a sufficient
// timeout. SetProtectedCalls must be called between two steps.
func (c *Controller) SetProtectedCalls(calls float64) { c.calls.setProtectedCalls(calls) }

// advanceTime brings the quantities that change with time up to date at now.
func (c *Controller) advanceTime(now time.Duration) {
	elapsed := now - c.now
	if elapsed <= 0 {
		return
	}
	c.estimator.advance(elapsed)
	c.calls.limiter.advance(now, elapsed)
	c.now = now
}

// emitInitialState emits, in the first step only, the health state and the initial advertised value, if there
// is one.
func (c *Controller) emitInitialState() {
	if !c.timers.start() {
		return
	}
	c.actions.emit(Action{Kind: ActionHealth, Health: c.health.answer()})
	if credit, ok := c.advisor.advertiser.atStart(); ok {
		c.actions.emit(Action{Kind: ActionAdvertise, Value: credit})
	}
}

// handleEvent passes an event to the part that handles it. Events about requests that have ended are ignored.
func (c *Controller) handleEvent(event *Event) {
	request := c.requests[event.ID]
	switch event.Kind {
	case EventRequestArrived:
		c.receive(event.ID, &event.Arrival)
	case EventRunCompleted:
		c.completeRun(request, event.Completion)
	case EventRequestCancelled:
		c.abandonRequest(request)
	case EventCallNeeded:
		c.calls.handleCallNeeded(c.now, request)
	case EventCallCompleted:
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

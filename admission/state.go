package admission

import (
	"math/rand/v2"
	"time"

	"falldeal/admission/internal/rolling"
	"falldeal/admission/internal/timedqueue"
)

// requestState is the life of a request. The order counts: from running on it has taken memory to run.
type requestState uint8

const (
	received     requestState = iota // read, and not yet decided on
	queued                           // waits to run
	following                        // waits for the attempt that it retries to run or end
	joined                           // waits for the result of the attempt that it retries
	running                          // on the CPU, or waiting for the disk
	awaitingCall                     // waits for a call to be made
	calling                          // waits for a call to end
	released                         // has ended; it is in no table any more
)

func (s requestState) String() string {
	return [...]string{"received", "queued", "following", "joined", "running", "awaiting call", "calling", "released"}[s]
}

// request is what the controller knows of one attempt.
type request struct {
	id           RequestID
	class        int // index into Settings.Classes
	tenant       int // index into the states of tenantQuotas
	state        requestState
	fleetRank    FleetRank
	retry        bool // marked as a retry
	answered     bool // no answer is owed any more
	ran          bool // it was started
	remembered   bool // it has an entry in Controller.keys
	memoryKB     float64
	work         float64       // seconds of a standard core
	retryJitter  time.Duration // of advice to stay away
	callTime     time.Duration // spent waiting for calls and in them
	callAttempts int
	leader       *request   // while following
	followers    []*request // that follow this one

	firstAttemptAt time.Duration // when its client sent the first attempt, as far as known
	arrivedAt      time.Duration
	startedAt      time.Duration // of its run
	callNeededAt   time.Duration // since then it waits for its call, or is in it
	objective      time.Duration // an answer by then has its full value
	usefulUntil    time.Duration // an answer by then has some value
	deadline       time.Duration // its client gives up then
}

// classStats is the state of one class.
type classStats struct {
	queue       []*request // in order of arrival; requests that have left it are dropped from its front
	queuedCount int
	queuedWork  float64
	meanWork    rolling.Average   // work of a request
	cpuTime     rolling.LinearFit // time on the CPU for a given work
	callsPerRun rolling.Average
	meanLatency rolling.Average // from arrival to end without calls, in seconds
}

// keyEntry is the record of a remembered request.
type keyEntry struct {
	expiresAt time.Duration
	ran       bool
}

// deadlineKind distinguishes what a deadline is about.
type deadlineKind uint8

const (
	deadlineAnswer        deadlineKind = iota // a request must be answered
	deadlineCallRetry                         // a call may be retried
	deadlineAbandonedCall                     // an abandoned call no longer occupies the dependency
	deadlineKey                               // a key expires
)

func (k deadlineKind) String() string {
	return [...]string{"answer", "call retry", "abandoned call", "key"}[k]
}

type deadline struct {
	kind    deadlineKind
	request *request  // deadlineAnswer, deadlineCallRetry
	id      RequestID // deadlineKey
}

// Controller decides for one server. It belongs to one goroutine.
type Controller struct {
	settings    Settings
	rng         *rand.Rand
	now         time.Duration // of the batch that is processed
	gauges      Gauges        // as last measured
	initialized bool          // the first step was taken
	actions     []Action      // of the step that is taken

	requests  map[RequestID]*request
	classes   []classStats
	keys      map[RequestID]*keyEntry
	deadlines timedqueue.Queue[deadline]

	// Rules.
	admissionRate admissionRate
	runs          *concurrencyLimiter
	breaker       *circuitBreaker
	memory        memoryBudget
	quotas        tenantQuotas
	arrivals      arrivalRate
	readDelay     readDelay
	advertiser    advertiser
	idleTimeout   idleTimeout
	drain         drain
	health        health
	conditions    conditionReporter

	busyTime time.Duration        // time for which all cores together were in use
	speed    rolling.DecayingPair // First: work completed; Second: core-seconds used

	queuedCount int
	queuedWork  float64

	// Calls.
	callQueue         timedqueue.Queue[*request] // waiting for a call, by the end of their usefulness
	awaitingCallCount int
	callsInFlight     int
	abandonedCalls    int             // that still occupy the dependency
	callTime          rolling.Average // seconds
	bestCallTime      float64         // seconds; the best mean, which drifts up
	callLimitRatio    float64         // limit on calls in flight, of Settings.MaxCallsInFlight
	callCredit        float64         // call-seconds under the limit, or over it if negative
	callSeconds       *rolling.Window // call-seconds in flight

	timerAt time.Duration // of the last ActionWake
	sweepAt time.Duration // of the next sweep
	idle    bool          // sweeps are skipped
}

// New returns a controller for a server that starts at now. The error is a *SettingsError, which names the field
// that cannot be served. Random choices follow from seed.
func New(settings Settings, seed uint64, now time.Duration) (*Controller, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	const randomStream = 0x9e3779b97f4a7c15
	rng := rand.New(rand.NewPCG(seed, randomStream))
	controller := &Controller{
		settings:       settings,
		rng:            rng,
		now:            now,
		gauges:         unknownGauges,
		requests:       map[RequestID]*request{},
		keys:           map[RequestID]*keyEntry{},
		admissionRate:  newAdmissionRate(rng),
		runs:           newConcurrencyLimiter(now, &settings),
		breaker:        newCircuitBreaker(now),
		arrivals:       newArrivalRate(),
		idleTimeout:    idleTimeout{current: settings.IdleTimeout},
		callLimitRatio: initialCallLimitRatio,
		bestCallTime:   1e9,
		sweepAt:        now,
	}
	controller.callCredit = controller.callLimit() * callCreditWindow.Seconds()
	controller.startCallWindow()
	half := float64(settings.Cores) / 2
	controller.speed = rolling.NewDecayingPair(speedTimeConstant, half, half)
	controller.speed.First *= controller.runs.slowStart.assumedInitialRatio()
	controller.configure()
	return controller, nil
}

// Reconfigure replaces the settings while requests are in flight. Classes are identified by their index: those
// that there were keep theirs, and new ones follow. A server warms up once, at its start. On an error, which
// names the field, the old settings stay.
func (c *Controller) Reconfigure(settings Settings) error {
	if err := settings.check(); err != nil {
		return err
	}
	if len(settings.Classes) < len(c.classes) {
		return settingsError("Classes", "%d of %d left", len(settings.Classes), len(c.classes))
	}
	settings.WarmingUp = c.settings.WarmingUp
	newWindow := settings.CallsWindow != c.settings.CallsWindow
	c.settings = settings
	if newWindow {
		c.startCallWindow()
	}
	c.configure()
	c.memory.recount(c.requests, len(c.keys))
	return nil
}

// startCallWindow begins to measure the mean of calls in flight.
func (c *Controller) startCallWindow() {
	c.callSeconds = rolling.NewWindow(c.now, max(c.settings.CallsWindow, time.Second), callSecondsBuckets)
}

// configure passes the settings to all parts.
func (c *Controller) configure() {
	c.classes = append(c.classes, make([]classStats, len(c.settings.Classes)-len(c.classes))...)
	c.runs.configure(&c.settings)
	c.memory.configure(&c.settings)
	c.quotas.configure(&c.settings)
	c.quotas.weigh(c.now)
	c.advertiser.configure(&c.settings)
	c.idleTimeout.configured = c.settings.IdleTimeout
	c.drain.grace = c.settings.DrainGrace
}

package admission

import (
	"math"
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
	tenant       int // index into Controller.tenants
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

// tenantStats is the state of one tenant.
type tenantStats struct {
	offered     rolling.DecayingPair // primary: requests
	valueFactor float64              // on the value of its requests
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
	startedAt   time.Duration
	initialized bool     // the first step was taken
	actions     []Action // of the step that is taken

	requests  map[RequestID]*request
	classes   []classStats
	tenants   []tenantStats // at least one
	keys      map[RequestID]*keyEntry
	deadlines timedqueue.Queue[deadline]

	// Admission and scheduling.
	admitProbability float64
	arrivals         rolling.DecayingPair // primary: requests read; secondary: retries, or rejections that stand for them
	readWait         rolling.Average      // seconds between reaching the machine and being read
	runLimit         float64              // requests on the CPU
	busyTime         time.Duration        // time for which all cores together were in use
	speed            rolling.DecayingPair // primary: work completed; secondary: core-seconds used
	gauges           Gauges

	// What is in flight.
	memoryKB    float64 // of requests and keys
	running     int     // runs, those that wait for calls included
	onCPU       int     // runs that do not
	runningWork float64
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
	callsEnded        *rolling.Window // number of calls
	callsAccepted     *rolling.Window // number of those that were accepted
	protectedCalls    float64         // calls per window that the breaker never drops

	// Health, advice and drain.
	deregistered    bool // by an operator
	unhealthy       bool // health checks are answered badly
	healthChangedAt time.Duration
	idleTimeout     time.Duration // in force
	draining        bool
	drainStartedAt  time.Duration
	stopAt          time.Duration // when the process ends

	conditions [conditionCount]conditionState // as last reported to the operators
	timerAt    time.Duration                  // of the last ActionWake
	sweepAt    time.Duration                  // of the next sweep
	idle       bool                           // sweeps are skipped
}

// New returns a controller for a server that starts at now. The error names the field of settings that cannot
// be served. Random choices follow from seed.
func New(settings Settings, seed uint64, now time.Duration) (*Controller, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	const randomStream = 0x9e3779b97f4a7c15
	controller := &Controller{settings: settings, rng: rand.New(rand.NewPCG(seed, randomStream)), now: now, startedAt: now,
		sweepAt: now, requests: map[RequestID]*request{}, keys: map[RequestID]*keyEntry{},
		admitProbability: 1, runLimit: initialRunsPerCore * float64(settings.Cores), gauges: Gauges{-1, -1, -1, -1},
		callLimitRatio: initialCallLimitRatio, bestCallTime: 1e9, protectedCalls: BreakerProtectedCalls,
		callsEnded:    rolling.NewWindow(now, breakerWindow, breakerBuckets),
		callsAccepted: rolling.NewWindow(now, breakerWindow, breakerBuckets), idleTimeout: settings.IdleTimeout}
	controller.callCredit = controller.callLimit() * callCreditWindow.Seconds()
	controller.startCallWindow()
	half := float64(settings.Cores) / 2
	controller.speed = rolling.NewDecayingPair(speedTimeConstant, half, half)
	if settings.WarmingUp {
		controller.speed.First *= max(settings.SlowStartSpeedRatio, minSlowStartSpeed)
	}
	controller.arrivals = rolling.NewDecayingPair(offeredTimeConstant, 0, 0)
	controller.growTables()
	controller.weighTenants()
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
	c.growTables()
	c.weighTenants()
	c.recountMemory()
	return nil
}

// startCallWindow begins to measure the mean of calls in flight.
func (c *Controller) startCallWindow() {
	c.callSeconds = rolling.NewWindow(c.now, max(c.settings.CallsWindow, time.Second), callSecondsBuckets)
}

// growTables makes an entry for each class and tenant of the settings.
func (c *Controller) growTables() {
	c.classes = append(c.classes, make([]classStats, len(c.settings.Classes)-len(c.classes))...)
	for len(c.tenants) < max(len(c.settings.Tenants), 1) {
		c.tenants = append(c.tenants, tenantStats{offered: rolling.NewDecayingPair(offeredTimeConstant, 0, 0), valueFactor: 1})
	}
}

// recountMemory adds up the memory in use, which depends on the settings.
func (c *Controller) recountMemory() {
	c.memoryKB = float64(len(c.keys)) * c.settings.KeyMemoryKB
	for _, req := range c.requests {
		c.memoryKB += req.memoryKB
		if req.state >= running {
			c.memoryKB += c.runningExtraKB(req)
		}
	}
}

// shortestObjective is the shortest latency objective of all classes.
func (c *Controller) shortestObjective() time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for i := range c.settings.Classes {
		if class := &c.settings.Classes[i]; !class.Removed {
			shortest = min(shortest, class.LatencyObjective)
		}
	}
	return shortest
}

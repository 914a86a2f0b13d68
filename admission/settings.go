package admission

import (
	"math"
	"time"
)

// Idempotency tells whether a request may be run again.
type Idempotency uint8

// The kinds of Idempotency.
const (
	Safe            Idempotency = iota // may be repeated freely
	IdempotentByKey                    // may be retried within its window and must run once
	Unsafe                             // must never run twice
)

func (i Idempotency) String() string { return [...]string{"safe", "idempotent by key", "unsafe"}[i] }

// Halt tells what a server can do to running work.
type Halt uint8

// The kinds of Halt.
const (
	HaltOff   Halt = iota // running work cannot be stopped
	HaltDrop              // a stop loses what was done
	HaltPause             // a stop keeps what was done
)

func (h Halt) String() string { return [...]string{"off", "drop", "pause"}[h] }

// Advert tells how clients read the value that a server sends along with its answers.
type Advert uint8

// The kinds of Advert.
const (
	AdvertOff    Advert = iota // no value is sent
	AdvertLevel                // requests ranked below it are not sent
	AdvertCredit               // requests that each client may have outstanding here
	AdvertWeight               // probability that a client does not skip this server
)

func (a Advert) String() string { return [...]string{"off", "level", "credit", "weight"}[a] }

// Dependency tells what running requests may call.
type Dependency uint8

// The kinds of Dependency.
const (
	DependencyNone   Dependency = iota // nothing
	DependencyShared                   // one dependency that all servers share
	DependencyTier                     // a further tier of servers
)

func (d Dependency) String() string { return [...]string{"none", "shared", "tier"}[d] }

// Class describes one class of requests.
type Class struct {
	LatencyObjective   time.Duration // an answer this long after the first attempt's arrival has its full value
	Deadline           time.Duration // clients wait this long over all attempts
	Idempotency        Idempotency
	IdempotencyWindow  time.Duration // IdempotentByKey: a retry may arrive this long after the first attempt
	PriorityWeight     float64       // value of one request, or of one unit of its work
	LateValueRatio     float64       // part of the value between LatencyObjective and Deadline
	CallsDependency    bool          // its requests may call the dependency
	DegradedValueRatio float64       // part of the value without the call; 0: the call must not be skipped
	Removed            bool          // no longer configured; requests in flight are still served
}

// mustCall reports whether its requests may call the dependency and are worth nothing without the call.
func (c *Class) mustCall() bool { return c.CallsDependency && c.DegradedValueRatio <= 0 }

// Tenant is one of the parties that share the servers.
type Tenant struct {
	QuotaPerSecond float64 // requests per second, over all servers, that count in full
}

// Settings are what a controller knows when it starts. New and Reconfigure check them.
//
// Dependency, ConcurrencyWindow and AnswerGrace decide nothing. They are here since the simulator and the configuration
// file have them: the two times are checked, so that wrong settings are rejected with the protocol's text.
type Settings struct {
	Cores     int
	FleetSize int // servers of this tier at the start
	Clients   int // clients of this tier at the start
	Classes   []Class
	Tenants   []Tenant // may be empty

	MemoryKB            float64
	RunningMemoryFactor float64 // memory of a running request, as a multiple of that of a queued one
	KeyMemoryKB         float64 // memory of one remembered key

	Halt                  Halt
	Advert                Advert
	Dependency            Dependency    // decides nothing, see below; MaxCallsInFlight does
	MaxCallsInFlight      float64       // DependencyShared: mean calls in flight allowed to this server; 0: any
	CallsWindow           time.Duration // over which the mean of MaxCallsInFlight is taken
	AbandonedCallTime     time.Duration // for which an abandoned call occupies the dependency at most
	WarmingUp             bool          // this server has just been started and is slow at first
	SlowStartSpeedRatio   float64       // part of its speed that it has at least while it warms up
	SlowStartTime         time.Duration // after which it is warm
	MaxConcurrencyPerCore float64       // requests on the CPU, per core, at which a warm server still works
	ConcurrencyWindow     time.Duration // over which the mean of MaxConcurrencyPerCore is taken; decides nothing, see below
	AnswerGrace           time.Duration // for which a late answer still counts; decides nothing, see below
	DrainGrace            time.Duration // requests that arrive up to this long after the drain signal are still run
	CacheTTL              time.Duration // for which the result of a read may answer others; 0: never
	IdleTimeout           time.Duration // after which clients close idle connections; 0: not known
	MaxRetryAfter         time.Duration // longest advice to stay away that clients heed
	SendsRetryAfter       bool          // such advice is passed on
	MarksRetries          bool          // retries are marked
	Tick                  time.Duration // least time between two batches
	WeightPerWork         bool          // PriorityWeight counts per unit of work, not per request
	ExcessValueRatio      float64       // part of the value of requests over a tenant's quota
}

// shortestObjective is the shortest latency objective of all classes.
func (s *Settings) shortestObjective() time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for i := range s.Classes {
		if class := &s.Classes[i]; !class.Removed {
			shortest = min(shortest, class.LatencyObjective)
		}
	}
	return shortest
}

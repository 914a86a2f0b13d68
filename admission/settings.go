package admission

import (
	"math"
	"time"
)

// Idempotency says whether a request may run more than once.
type Idempotency uint8

// The kinds of Idempotency.
const (
	Safe            Idempotency = iota // may run any number of times
	IdempotentByKey                    // may be retried within its window but must run only once
	Unsafe                             // must never run twice
)

func (i Idempotency) String() string { return [...]string{"safe", "idempotent by key", "unsafe"}[i] }

// Halt says whether a server can stop a run, and what happens to the work done so far.
type Halt uint8

// The kinds of Halt.
const (
	HaltOff   Halt = iota // runs cannot be stopped
	HaltDrop              // stopping a run loses the work done
	HaltPause             // stopping a run keeps the work done
)

func (h Halt) String() string { return [...]string{"off", "drop", "pause"}[h] }

// Advert says how clients interpret the value that a server sends along with its answers.
type Advert uint8

// The kinds of Advert.
const (
	AdvertOff    Advert = iota // no value is sent
	AdvertLevel                // clients do not send requests that rank below the value
	AdvertCredit               // number of outstanding requests that each client may have at this server
	AdvertWeight               // probability that a client does not skip this server
)

func (a Advert) String() string { return [...]string{"off", "level", "credit", "weight"}[a] }

// Dependency says what running requests may call.
type Dependency uint8

// The kinds of Dependency.
const (
	DependencyNone   Dependency = iota // nothing
	DependencyShared                   // one dependency that all servers share
	DependencyTier                     // another tier of servers
)

func (d Dependency) String() string { return [...]string{"none", "shared", "tier"}[d] }

// Class describes one class of requests.
type Class struct {
	LatencyObjective   time.Duration // from the first attempt to the answer; later answers lose value
	Deadline           time.Duration // how long clients wait from the arrival, if Arrival.Deadline is unset
	Idempotency        Idempotency
	IdempotencyWindow  time.Duration // IdempotentByKey: a retry may arrive this long after the first attempt
	PriorityWeight     float64       // value of one request, or of one unit of its work (WeightPerWork)
	LateValueRatio     float64       // fraction of the value left to an answer between objective and deadline
	CallsDependency    bool          // requests of the class may call the dependency
	DegradedValueRatio float64       // fraction of its value without the call; 0: calls are never skipped
	Removed            bool          // no longer configured; requests in flight are still served
}

// mustCall reports whether requests of the class may call the dependency and have no value without the call.
func (c *Class) mustCall() bool { return c.CallsDependency && c.DegradedValueRatio <= 0 }

// Tenant is one of the parties that share the servers.
type Tenant struct {
	QuotaPerSecond float64 // requests per second, over all servers, that keep their full value; 0: no quota
}

// Settings configure a Controller. New and Reconfigure validate them.
//
// Dependency, ConcurrencyWindow and AnswerGrace affect no decision. They exist because the simulator and the
// configuration file have them. The two times are validated, so that invalid settings are rejected with the
// text of the simulator's protocol.
type Settings struct {
	Cores     int
	FleetSize int      // configured number of servers of this tier
	Clients   int      // configured number of clients of this tier
	Classes   []Class  // at least one
	Tenants   []Tenant // may be empty

	MemoryKB            float64 // memory of the server, in kB
	RunningMemoryFactor float64 // ratio of running to queued memory of a request; below 1 counts as 1
	KeyMemoryKB         float64 // memory of one remembered key, in kB

	Halt                  Halt          // what stopping a run does
	Advert                Advert        // meaning of the advertised value
	Dependency            Dependency    // affects no decision, see above; MaxCallsInFlight does
	MaxCallsInFlight      float64       // limit on this server's mean number of calls in flight; 0: unlimited
	CallsWindow           time.Duration // over which the mean of MaxCallsInFlight is taken
	AbandonedCallTime     time.Duration // longest time that an abandoned call occupies the dependency
	WarmingUp             bool          // the server has just started and is slow at first
	SlowStartSpeedRatio   float64       // fraction of its full speed that a server starts with if WarmingUp
	SlowStartTime         time.Duration // after which a server that warms up has its full speed
	MaxConcurrencyPerCore float64       // runs per core that a warm server can handle; below 1 counts as 1
	ConcurrencyWindow     time.Duration // averaging time of MaxConcurrencyPerCore; affects no decision
	AnswerGrace           time.Duration // for which a late answer still counts; affects no decision
	DrainGrace            time.Duration // after the drain signal; requests that arrive during it still run
	CacheTTL              time.Duration // for which the result of a read may answer other attempts; 0: never
	IdleTimeout           time.Duration // after which clients close idle connections; 0: unknown
	MaxRetryAfter         time.Duration // longest RetryAfter that clients heed
	SendsRetryAfter       bool          // RetryAfter is passed on to clients
	MarksRetries          bool          // clients mark retries
	Tick                  time.Duration // minimum time between two batches
	WeightPerWork         bool          // PriorityWeight is the value per unit of work, not per request
	ExcessValueRatio      float64       // least value factor of requests whose tenant exceeds its quota
}

// shortestObjective returns the shortest latency objective of all classes that are not removed.
func (s *Settings) shortestObjective() time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for i := range s.Classes {
		if class := &s.Classes[i]; !class.Removed {
			shortest = min(shortest, class.LatencyObjective)
		}
	}
	return shortest
}

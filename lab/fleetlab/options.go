package fleetlab

import (
	"time"

	"falldeal/lab/clients"
)

// IdempotencyWindow is how long the servers remember the idempotency key of a request. It has the value of the example
// configuration, internal/config/testdata/config.json.
const IdempotencyWindow = 17457 * time.Millisecond

// defaultIdempotencyWindow is written for classes without idempotency keys, because the configuration requires a
// value.
const defaultIdempotencyWindow = 5 * time.Second

// Options describes the fleet to start.
type Options struct {
	Binary  string // path of the falldeal program; falldeal-fleet must be in the same directory
	Dir     string // directory for the files of the processes; created if missing
	Members int
	Zones   []string // members are assigned to the zones round robin
	Region  string   // of all members
	Seed    uint64   // of the relay, the servers and the gossip encryption key
	// ProbeInterval is the time between two probes of the failure detector of the fleet's membership.
	ProbeInterval time.Duration
	Encrypted     bool   // encrypt the gossip, with a key derived from Seed
	LogLevel      string // of the server processes

	QuotaLeasing      bool // servers lease call quota to one another
	Shedding          bool // all servers shed load at one threshold
	CoordinatedProbes bool // only one server at a time probes an unresponsive store

	Cores      int           // cores of each agent; the agent of every other member has slower cores
	WarmupTime time.Duration // how long an agent warms up after a restart
	Slots      int           // calls that the store of each zone works on concurrently
	CallTime   time.Duration // work of a call in a slot of a store
	Classes    []clients.Class
}

// Defaults returns the options of a fleet of six members in three zones. Binary and Dir are left empty.
func Defaults() Options {
	const timeout, latencyObjective = 4 * time.Second, 1900 * time.Millisecond
	return Options{
		Members:       6,
		Zones:         []string{"brussel-noord", "zaventem", "mechelen"},
		Region:        "belgium",
		Seed:          1,
		ProbeInterval: 500 * time.Millisecond,
		LogLevel:      "info",
		Cores:         4,
		WarmupTime:    4 * time.Second,
		Slots:         16,
		CallTime:      30 * time.Millisecond,
		Classes: []clients.Class{
			{
				Name: classPreview, ArrivalRatio: 0.6, MeanWork: 40 * time.Millisecond,
				Timeout: timeout, LatencyObjective: latencyObjective, Value: 1, DegradedValueRatio: 0.6,
			},
			{
				Name: classHiresCrop, ArrivalRatio: 0.3, MeanWork: 90 * time.Millisecond,
				Timeout: timeout, LatencyObjective: latencyObjective, Value: 2,
			},
			{
				Name: classLicenceOrder, ArrivalRatio: 0.1, MeanWork: 60 * time.Millisecond,
				Timeout: timeout, LatencyObjective: latencyObjective, Value: 3, IdempotentByKey: true,
			},
		},
	}
}

// Request classes in the configuration of the servers.
const (
	classPreview      = "preview"
	classHiresCrop    = "hires-crop"
	classLicenceOrder = "licence-order"
)

// callsStore reports whether the run of a request of the class makes a call to the store.
func callsStore(class string) bool { return class != classHiresCrop }

package fleetlab

import (
	"time"

	"falldeal/lab/clients"
)

// IdempotencyWindow is how long the servers remember an idempotency key, by their settings.
const IdempotencyWindow = 17457 * time.Millisecond

// defaultIdempotencyWindow is that of classes without keys, which the settings need as well.
const defaultIdempotencyWindow = 5 * time.Second

// Options say which fleet to start.
type Options struct {
	Binary  string // path of the falldeal program, with the programs that it starts beside it
	Dir     string // for the files of the processes; created if missing
	Members int
	Zones   []string // members are spread over them round robin
	Region  string
	Seed    uint64
	// ProbeInterval is that of the membership's failure detector.
	ProbeInterval time.Duration
	Encrypted     bool // the gossip is encrypted, with a key derived from Seed
	LogLevel      string

	QuotaLeasing      bool // servers lease call quotas to one another
	Shedding          bool // the fleet sheds load at one threshold
	CoordinatedProbes bool // one server at a time probes a store that does not answer

	Cores      int           // of each agent; those of every other member are slower
	WarmupTime time.Duration // of an agent that was restarted
	Slots      int           // of the store of each zone
	CallTime   time.Duration // of a call in a slot
	Classes    []clients.Class
}

// Defaults returns the options of a small fleet in three zones, without Binary and Dir.
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

// Classes of requests that the settings of the servers and the fakes know.
const (
	classPreview      = "preview"
	classHiresCrop    = "hires-crop"
	classLicenceOrder = "licence-order"
)

// callsStore reports whether a request of a class makes a call to the store.
func callsStore(class string) bool { return class != classHiresCrop }

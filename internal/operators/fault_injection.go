package operators

import "time"

// Bounds of the keys in table [drill].
const (
	maxClockOffset = 24 * time.Hour // of key clock, in both directions
	maxStall       = time.Minute    // of key wedge
)

// FaultInjection is the table [drill]: faults that this process injects into itself, so that operators can observe how the
// other members react.
type FaultInjection struct {
	ClockOffset   time.Duration // added to the system clock for the event loop, and for Run and Incarnation; may be negative
	StallDuration time.Duration // time for which a console request stalls the event loop; 0: there is no such request
}

// drill is the table [drill] as it is decoded. The decoder's errors contain the names of the type and its fields, which
// therefore must not change.
type drill struct {
	Clock *string `toml:"clock"` // a duration such as 500ms
	Wedge *string `toml:"wedge"` // a duration
}

// parse returns the checked table, or nil if it is absent.
func (t *drill) parse() (*FaultInjection, error) {
	if t == nil {
		return nil, nil
	}
	parsed := &FaultInjection{}
	if err := setDuration("drill.clock", t.Clock, -maxClockOffset, maxClockOffset, &parsed.ClockOffset); err != nil {
		return nil, err
	}
	if err := setDuration("drill.wedge", t.Wedge, 0, maxStall, &parsed.StallDuration); err != nil {
		return nil, err
	}
	return parsed, nil
}

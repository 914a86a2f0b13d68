package operators

import "time"

// Bounds of the table [drill].
const (
	maxClockOffset = 24 * time.Hour
	maxWedge       = time.Minute
)

// FaultInjection is the table [drill]: faults that this process injects into itself, for operators to see how the other
// members react.
type FaultInjection struct {
	Clock time.Duration // offset of its clock from the start; may be negative
	Wedge time.Duration // for which a call to the console stalls its event loop; 0: there is no such call
}

// drill is the table [drill] as it is decoded. Errors of the decoder print its name and fields.
type drill struct {
	Clock *string `toml:"clock"`
	Wedge *string `toml:"wedge"`
}

// parse checks the table. It returns nil where it is absent.
func (t *drill) parse() (*FaultInjection, error) {
	if t == nil {
		return nil, nil
	}
	parsed := &FaultInjection{}
	if err := setDuration("drill.clock", t.Clock, -maxClockOffset, maxClockOffset, &parsed.Clock); err != nil {
		return nil, err
	}
	if err := setDuration("drill.wedge", t.Wedge, 0, maxWedge, &parsed.Wedge); err != nil {
		return nil, err
	}
	return parsed, nil
}

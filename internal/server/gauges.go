package server

import (
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"
)

const (
	gaugeRequestMargin = 4 * time.Millisecond // gauges are requested this long before the controller needs them
	gaugeMaxAge        = time.Second          // older readings count as unknown
)

// gaugeReading is the latest reading of the agent's gauges. The loop owns it.
type gaugeReading struct {
	values admission.Gauges
	at     time.Duration // when it was received, on the clock of the loop
}

// fresh reports whether the reading is recent enough to act on.
func (g *gaugeReading) fresh(now time.Duration) bool { return now-g.at <= gaugeMaxAge }

// latest returns the gauges if they are fresh, and unknown gauges otherwise: the controller must not act on an old load.
func (g *gaugeReading) latest(now time.Duration) admission.Gauges {
	if !g.fresh(now) {
		return admission.UnknownGauges()
	}
	return g.values
}

// record stores a reading. In both types, a gauge that the agent has not reported is negative.
func (g *gaugeReading) record(now time.Duration, load agent.Load) {
	g.at = now
	g.values = admission.Gauges{
		CPUUtilization:    load.CPUUtilization,
		CPUDemand:         load.CPUDemand,
		MemoryUtilization: load.MemoryUtilization,
		Connections:       load.Connections,
	}
}

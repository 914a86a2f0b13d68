package server

import (
	"time"

	"falldeal/admission"
)

const (
	gaugeLeadTime = 4 * time.Millisecond // gauges are asked for this long before the controller needs them
	gaugeMaxAge   = time.Second          // older gauges count as unknown
)

var unknownGauges = admission.Gauges{CPUUtilization: -1, CPUDemand: -1, MemoryUtilization: -1, Connections: -1}

// gaugeReading is the last reading of the agent's gauges. The loop owns it.
type gaugeReading struct {
	values admission.Gauges
	at     time.Duration
}

// fresh reports whether the reading is recent enough to act on.
func (g *gaugeReading) fresh(now time.Duration) bool { return now-g.at <= gaugeMaxAge }

// latest returns the reading if it is fresh, and unknown gauges if not: the controller must not act on an old load.
func (g *gaugeReading) latest(now time.Duration) admission.Gauges {
	if !g.fresh(now) {
		return unknownGauges
	}
	return g.values
}

// record takes over a reading. Names are those of the configuration, in the order of the values.
func (g *gaugeReading) record(now time.Duration, names []string, values []float64) {
	gauges := unknownGauges
	for i, value := range values[:min(len(values), len(names))] {
		switch names[i] {
		case "core_use":
			gauges.CPUUtilization = value
		case "on_cores":
			gauges.CPUDemand = value
		case "heap_share":
			gauges.MemoryUtilization = value
		case "links":
			gauges.Connections = value
		}
	}
	g.values, g.at = gauges, now
}

package server

import (
	"time"

	"falldeal/admission"
)

const (
	gaugeRequestMargin = 4 * time.Millisecond // gauges are asked for this long before the controller needs them
	gaugeMaxAge        = time.Second          // older gauges count as unknown
)

// Names of gauges in the configuration; the agent sends their values in the order of these names.
const (
	gaugeCPUUtilization    = "core_use"
	gaugeCPUDemand         = "on_cores"
	gaugeMemoryUtilization = "heap_share"
	gaugeConnections       = "links"
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

// record sets the reading: values of the gauges of these names, of which some may be missing at the end.
func (g *gaugeReading) record(now time.Duration, names []string, values []float64) {
	gauges := unknownGauges
	for i, value := range values[:min(len(values), len(names))] {
		switch names[i] {
		case gaugeCPUUtilization:
			gauges.CPUUtilization = value
		case gaugeCPUDemand:
			gauges.CPUDemand = value
		case gaugeMemoryUtilization:
			gauges.MemoryUtilization = value
		case gaugeConnections:
			gauges.Connections = value
		}
	}
	g.values = gauges
	g.at = now
}

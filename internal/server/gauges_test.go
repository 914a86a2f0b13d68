package server

import (
	"testing"

	"falldeal/admission"

	"github.com/stretchr/testify/require"
)

// Old gauges count as unknown: the controller must not act on an old load.
func TestGauges(t *testing.T) {
	server, _ := newIdleServer(t)
	server.gauges.record(server.clock.now, server.config.Gauges, []float64{0.5, 3, 0.25, 9, 7})
	want := admission.Gauges{CPUUtilization: 0.5, CPUDemand: 3, MemoryUtilization: 0.25, Connections: 9}
	startAgent(server)
	timer := func() admission.Gauges {
		server.admission.events = nil
		server.scheduleWake(server.clock.now)
		server.deadlines.Sweep(server.clock.now)
		return server.admission.events[0].Gauges
	}
	require.Equal(t, want, timer())
	server.clock.now += gaugeMaxAge + 1
	require.Equal(t, unknownGauges, timer())
	server.gauges.record(server.clock.now, server.config.Gauges, []float64{0.5})
	require.Equal(t, admission.Gauges{CPUUtilization: 0.5, CPUDemand: -1, MemoryUtilization: -1, Connections: -1}, timer())
}

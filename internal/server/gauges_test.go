package server

import (
	"testing"

	"falldeal/admission"
	"falldeal/internal/agent"

	"github.com/stretchr/testify/require"
)

// Old gauges must count as unknown, because the controller must not act on an old load.
func TestOldGaugesAreUnknown(t *testing.T) {
	server, _ := newServerWithoutLoop(t)
	server.gauges.record(server.clock.now,
		agent.Load{CPUUtilization: 0.5, CPUDemand: 3, MemoryUtilization: 0.25, Connections: 9})
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
	require.Equal(t, admission.UnknownGauges(), timer())
	server.gauges.record(server.clock.now,
		agent.Load{CPUUtilization: 0.5, CPUDemand: agent.UnknownGauge, MemoryUtilization: agent.UnknownGauge,
			Connections: agent.UnknownGauge})
	require.Equal(t, admission.Gauges{CPUUtilization: 0.5, CPUDemand: -1, MemoryUtilization: -1, Connections: -1}, timer())
}

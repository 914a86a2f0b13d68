package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// If all servers of an overloaded fleet stayed unhealthy until their read delay fell, none would be left. The
// state must flip back after minHealthDuration, recover without load, and not change during a drain.
func TestServerWithLongReadDelayIsUnhealthyHalfOfTheTime(t *testing.T) {
	controller := startController(t, testSettings())
	unhealthyFor, changes := time.Duration(0), 0
	for now := time.Duration(0); now < 10*time.Second; now += 50 * ms {
		event := arrived(RequestID(now+1), 0)
		event.Arrival.ReadDelay = 900 * ms
		for _, action := range controller.Step(now, []Event{event}, nil) {
			if action.Kind == ActionHealth {
				changes++
			}
		}
		if controller.health.unhealthy {
			unhealthyFor += 50 * ms
		}
	}
	if unhealthyFor < 4*time.Second || unhealthyFor > 5*time.Second+minHealthDuration || changes > 20 {
		t.Errorf("unhealthy for %v of 10 s, with %d changes", unhealthyFor, changes)
	}
	for now := 10 * time.Second; now < 20*time.Second; now += 50 * ms {
		controller.Step(now, nil, nil)
	}
	if controller.health.unhealthy || controller.advisor.readDelay.mean.Value() > 0.2 {
		t.Errorf("unhealthy %v, mean read delay %v s, although no requests arrive",
			controller.health.unhealthy, controller.advisor.readDelay.mean.Value())
	}
	controller.Step(20*time.Second, []Event{DrainStarted(DrainSignal{StopAt: 25 * time.Second})}, nil)
	event := arrived(1, 0)
	event.Arrival.ReadDelay = 5 * time.Second
	actions := controller.Step(21*time.Second, []Event{event}, nil)
	actions = controller.Step(23*time.Second, nil, actions)
	requireNoAction(t, actions, ActionHealth, 0)
}

// A server that an operator has deregistered must stay unhealthy until it is registered again, whatever its
// load, but must still run requests. A draining server must not become healthy again.
func TestDeregisteredUntilReregistered(t *testing.T) {
	controller := startController(t, testSettings())
	if requireAction(t, controller.Step(time.Second, []Event{ServerDeregistered()}, nil), ActionHealth, 0).Health.Healthy {
		t.Error("healthy after EventDeregister")
	}
	for now := 1100 * ms; now < 5*time.Second; now += 100 * ms {
		if findAction(controller.Step(now, []Event{TimerFired(Gauges{})}, nil), ActionHealth, 0) != nil {
			t.Error("the health state changed while deregistered")
		}
	}
	requireAction(t, controller.Step(5*time.Second, []Event{arrived(1, 0)}, nil), ActionRun, 1)
	if !requireAction(t, controller.Step(6*time.Second, []Event{ServerReregistered()}, nil), ActionHealth, 0).Health.Healthy {
		t.Error("unhealthy after EventReregister")
	}
	controller.Step(7*time.Second, []Event{DrainStarted(DrainSignal{StopAt: 9 * time.Second})}, nil)
	if findAction(controller.Step(7*time.Second, []Event{ServerReregistered()}, nil), ActionHealth, 0) != nil {
		t.Error("EventReregister changed the health state during a drain")
	}
}

// The health state must stay for minHealthDuration and flip back after it. Deregistration by an operator must
// take precedence over the read delay, and a drain must keep the answer unchanged.
func TestHealthStateTransitions(t *testing.T) {
	var health health
	require.Equal(t, HealthAnswer{Healthy: true, Cached: true}, health.answer())
	require.False(t, health.adjust(time.Second, false, false), "nothing has changed")
	require.False(t, health.adjust(time.Second, true, true), "a drain")
	require.True(t, health.adjust(time.Second, true, false))
	require.Equal(t, HealthAnswer{Healthy: false, Cached: true}, health.answer())
	require.False(t, health.adjust(time.Second+minHealthDuration-1, false, false), "too soon")
	require.True(t, health.adjust(time.Second+minHealthDuration, true, false), "flips back although the read delay is over its limit")
	require.True(t, health.answer().Healthy)
	require.True(t, health.setDeregistered(2*time.Second, true, false))
	require.False(t, health.answer().Healthy)
	require.False(t, health.adjust(time.Hour, true, false), "deregistered by an operator")
	require.False(t, health.setDeregistered(time.Hour, false, true), "a drain")
	require.True(t, health.setDeregistered(time.Hour, false, false))
	require.True(t, health.answer().Healthy)
}

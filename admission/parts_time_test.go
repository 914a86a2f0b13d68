package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDrainBoundsAnswers(t *testing.T) {
	drain := drain{grace: time.Second}
	request := &request{deadline: 20 * time.Second}
	require.Equal(t, 20*time.Second-answerMargin, drain.answerDeadline(request))
	require.True(t, drain.acceptsRun(time.Hour, time.Hour), "there is no drain")
	require.True(t, drain.acceptsEnd(time.Hour))
	drain.start(10*time.Second, DrainSignal{Waited: 2 * time.Second, StopAt: 14 * time.Second})
	require.Equal(t, 14*time.Second-stopMargin, drain.answerDeadline(request))
	require.True(t, drain.acceptsRun(9*time.Second, 13*time.Second))
	require.False(t, drain.acceptsRun(9*time.Second+1, 13*time.Second), "after the grace, which began with the signal")
	require.False(t, drain.acceptsRun(9*time.Second, 14*time.Second))
	require.False(t, drain.acceptsEnd(14*time.Second))
	request.deadline = 12 * time.Second
	require.Equal(t, 12*time.Second-answerMargin, drain.answerDeadline(request))
}

func TestHealthAnswers(t *testing.T) {
	var health health
	require.Equal(t, HealthAnswer{Healthy: true, Cached: true}, health.answer())
	require.False(t, health.adjust(time.Second, false, false), "nothing has changed")
	require.False(t, health.adjust(time.Second, true, true), "a drain")
	require.True(t, health.adjust(time.Second, true, false))
	require.Equal(t, HealthAnswer{Healthy: false, Cached: true}, health.answer())
	require.False(t, health.adjust(time.Second+minHealthDuration-1, false, false), "too soon")
	require.True(t, health.adjust(time.Second+minHealthDuration, true, false), "half of the time at most")
	require.True(t, health.answer().Healthy)
	require.True(t, health.setDeregistered(2*time.Second, true, false))
	require.False(t, health.answer().Healthy)
	require.False(t, health.adjust(time.Hour, true, false), "operators decide")
	require.False(t, health.setDeregistered(time.Hour, false, true), "a drain")
	require.True(t, health.setDeregistered(time.Hour, false, false))
	require.True(t, health.answer().Healthy)
}

func TestArrivalRate(t *testing.T) {
	arrivals := newArrivalRate()
	require.Equal(t, 10*offeredTimeConstant, arrivals.meanClientInterval(10), "nothing is known")
	for i := range 100 {
		arrivals.add(0, i%2 == 0)
	}
	require.True(t, arrivals.retryStorm())
	require.Equal(t, offeredTimeConstant/10, arrivals.meanClientInterval(10))
	calm := newArrivalRate()
	for range 100 {
		calm.add(0, false)
	}
	require.False(t, calm.retryStorm())
	for range 41 {
		calm.addRejection(0)
	}
	require.True(t, calm.retryStorm())
}

func TestReadDelay(t *testing.T) {
	var delay readDelay
	require.False(t, delay.exceeds(0.4, time.Second))
	delay.observe(-time.Second) // the clocks differ
	require.False(t, delay.exceeds(0, time.Second))
	for range 100 {
		delay.observe(500 * ms)
	}
	require.True(t, delay.exceeds(0.4, time.Second))
	require.False(t, delay.exceeds(0.4, 2*time.Second))
	for range 100 {
		delay.decay()
	}
	require.False(t, delay.exceeds(0.4, time.Second), "it is forgotten")
}

func TestIdleTimeoutWeighsClientIntervals(t *testing.T) {
	arrivals := newArrivalRate()
	for range 80 { // 10 requests a second
		arrivals.add(0, false)
	}
	timeout := idleTimeout{configured: 30 * time.Second, current: 30 * time.Second}
	require.False(t, timeout.adjust(0, 100, &arrivals), "each client returns within 10 s")
	require.True(t, timeout.adjust(0, 200, &arrivals), "each returns within 20 s")
	require.Equal(t, shortIdleTimeout, timeout.current)
	require.False(t, timeout.adjust(0, 200, &arrivals))
	require.True(t, timeout.adjust(0, 100, &arrivals))
	require.Equal(t, 30*time.Second, timeout.current)
	timeout.configured = 300 * ms
	require.True(t, timeout.adjust(0, 1e6, &arrivals))
	require.Equal(t, 300*ms, timeout.current, "never longer than configured")
}

func TestAdvertiser(t *testing.T) {
	for _, test := range []struct {
		advert   Advert
		start    float64
		hasStart bool
		drain    float64
		hasDrain bool
	}{
		{AdvertOff, 0, false, 0, false}, {AdvertLevel, 0, false, 1, true}, {AdvertCredit, 2, true, 0, true}, {AdvertWeight, 0, false, 0, true},
	} {
		advertiser := advertiser{advert: test.advert, cores: 4, clients: 5}
		value, ok := advertiser.atStart()
		require.Equal(t, test.hasStart, ok, test.advert)
		require.InDelta(t, test.start, value, 1e-12, test.advert)
		value, ok = advertiser.atDrain()
		require.Equal(t, test.hasDrain, ok, test.advert)
		require.InDelta(t, test.drain, value, 0, test.advert)
	}
	value, _ := (&advertiser{advert: AdvertCredit, cores: 4}).atStart()
	require.InDelta(t, 10, value, 0, "without clients")
}

func TestConditionReporterWaitsBetweenReports(t *testing.T) {
	var reporter conditionReporter
	require.False(t, reporter.changed(0, ConditionMemory, false))
	require.True(t, reporter.changed(0, ConditionMemory, true), "even at time 0")
	require.False(t, reporter.changed(time.Second, ConditionMemory, false), "too soon")
	require.True(t, reporter.changed(time.Second, ConditionHealth, true), "another condition")
	require.False(t, reporter.changed(reportInterval+1, ConditionMemory, true), "it goes on")
	require.True(t, reporter.changed(reportInterval+1, ConditionMemory, false))
}

func TestTimersSkipSweepsWhileIdle(t *testing.T) {
	var timers timers
	require.True(t, timers.start())
	require.False(t, timers.start())
	require.True(t, timers.sweepDue(0))
	require.False(t, timers.sweepDue(50*ms))
	at, ok := timers.schedule(50*ms, false)
	require.True(t, ok)
	require.Equal(t, sweepInterval, at)
	_, ok = timers.schedule(60*ms, false)
	require.False(t, ok, "it wakes in time")
	timers.add(80*ms, deadline{kind: deadlineAbandonedCall})
	at, ok = timers.schedule(60*ms, false)
	require.True(t, ok)
	require.Equal(t, 80*ms, at)
	_, ok = timers.expired(70 * ms)
	require.False(t, ok)
	due, ok := timers.expired(80 * ms)
	require.True(t, ok)
	require.Equal(t, deadlineAbandonedCall, due.kind)
	at, ok = timers.schedule(80*ms, true)
	require.True(t, ok)
	require.Equal(t, maxSkippedSweeps*sweepInterval, at)
	sweeps := 0
	timers.catchUp(450*ms, func() { sweeps++ })
	require.Equal(t, 4, sweeps, "at 100, 200, 300 and 400 ms")
	timers.schedule(450*ms, true)
	sweeps = 0
	timers.catchUp(time.Hour, func() { sweeps++ })
	require.Equal(t, maxSkippedSweeps, sweeps, "after a suspension")
}

func TestObsoleteDeadlinesAreDropped(t *testing.T) {
	var timers timers
	answered := &request{state: running, answered: true}
	waiting := &request{state: awaitingCall}
	timers.add(1, deadline{kind: deadlineAnswer, request: answered})
	timers.add(2, deadline{kind: deadlineCallRetry, request: answered})
	timers.add(3, deadline{kind: deadlineAnswer, request: &request{state: released}})
	timers.add(4, deadline{kind: deadlineCallRetry, request: waiting})
	due, ok := timers.expired(time.Second)
	require.True(t, ok)
	require.Same(t, waiting, due.request)
	_, ok = timers.expired(time.Second)
	require.False(t, ok)
	require.Zero(t, timers.deadlines.Len())
}

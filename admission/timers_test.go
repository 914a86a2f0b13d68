package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An idle server must not wake up ten times per second. Each wake costs two more in the server: to
// request the gauges from the agent and to receive them.
// While it recovers or a request is in flight, it must not skip any decision.
func TestIdleServerSkipsPeriodicDecisions(t *testing.T) {
	controller := startController(t, testSettings())
	controller.Step(1, []Event{TimerFired(idleGauges)}, nil)
	n := stepAtTimers(controller, 10*time.Second, idleGauges)
	if n < 9 || n > 12 {
		t.Errorf("%d wakes in 10 s while idle, want about 10", n)
	}
	// While the admit probability recovers, nothing is skipped.
	controller.admitProbability.probability = 0.3 // the decisions that were skipped so far raise it at the next step
	controller.Step(controller.timers.wakeAt, []Event{TimerFired(idleGauges)}, nil)
	if n = stepAtTimers(controller, controller.now+2*time.Second, idleGauges); n < 19 {
		t.Errorf("%d wakes in 2 s of recovery, want about 20", n)
	}
	// While a request is in flight, nothing is skipped either.
	controller.Step(controller.now+1, []Event{arrived(1, 1)}, nil)
	if n = stepAtTimers(controller, controller.now+time.Second, idleGauges); n < 9 {
		t.Errorf("%d wakes in 1 s with a run, want about 10", n)
	}
}

// A controller that is woken only when it asks must take the same actions, and end in the same state, as one
// that is woken for every periodic decision.
func TestSkippedPeriodicDecisionsChangeNoAction(t *testing.T) {
	for seed := range uint64(30) {
		onDemand, everyInterval := startController(t, testSettings()), startController(t, testSettings())
		rng := rand.New(rand.NewPCG(seed, 5))
		now, id := time.Duration(0), RequestID(0)
		onDemand.Step(1, []Event{TimerFired(idleGauges)}, nil)
		everyInterval.Step(1, []Event{TimerFired(idleGauges)}, nil)
		for round := range 20 {
			now += time.Duration(rng.IntN(60)+1) * 100 * ms
			stepAtTimers(onDemand, now, idleGauges)
			for everyInterval.timers.nextPeriodicAt <= now {
				everyInterval.Step(everyInterval.timers.nextPeriodicAt, []Event{TimerFired(idleGauges)}, nil)
			}
			now = max(everyInterval.now, onDemand.now) + 50*ms // between two periodic decisions
			id++
			class := 1 + rng.IntN(3)
			script := [][]Event{{arrived(id, class)}, {CallNeeded(id)},
				{CallCompleted(id, Completion{Outcome: OutcomeOK, Duration: time.Duration(rng.IntN(40)) * ms})},
				{RunCompleted(id, Completion{Outcome: OutcomeOK, Duration: 30 * ms})}}
			for _, events := range script {
				got, want := withoutWakes(onDemand.Step(now, events, nil)), withoutWakes(everyInterval.Step(now, events, nil))
				require.Equalf(t, want, got, "seed %d, round %d", seed, round)
				now += 10 * ms
			}
			// Both are woken for every decision until the recovery has ended.
			for range 40 {
				now += 100 * ms
				onDemand.Step(now, []Event{TimerFired(idleGauges)}, nil)
				everyInterval.Step(now, []Event{TimerFired(idleGauges)}, nil)
			}
			require.Equalf(t, periodicState(everyInterval), periodicState(onDemand), "seed %d, round %d", seed, round)
		}
	}
}

// stepAtTimers steps a controller at the times that it asks for, up to until, and returns the number of
// steps.
func stepAtTimers(controller *Controller, until time.Duration, g Gauges) (n int) {
	for ; controller.timers.wakeAt <= until; n++ {
		controller.Step(controller.timers.wakeAt, []Event{TimerFired(g)}, nil)
	}
	return n
}

var idleGauges = Gauges{CPUUtilization: 0.02, CPUDemand: 0, MemoryUtilization: 0.1, Connections: 20}

// BenchmarkStep measures a step that receives one request and ends another, by the number of requests in
// flight.
func BenchmarkStep(b *testing.B) {
	for _, inFlight := range []int{0, 10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("held=%d", inFlight), func(b *testing.B) {
			settings := testSettings()
			settings.MemoryKB = 1e9
			settings.Cores = 64
			for i := range settings.Classes {
				settings.Classes[i].LatencyObjective = time.Hour
				settings.Classes[i].Deadline = time.Hour
			}
			controller := startController(b, settings)
			now, id := time.Duration(1), RequestID(0)
			for range inFlight {
				id++
				controller.Step(now, []Event{RequestArrived(id, Arrival{Class: 0, MemoryKB: 1, CostHint: time.Microsecond})}, nil)
			}
			var actions []Action
			b.ReportAllocs()
			for b.Loop() {
				id++
				now += 100 * time.Microsecond
				actions = controller.Step(now, []Event{RequestArrived(id, Arrival{Class: 3, MemoryKB: 1, CostHint: time.Microsecond}),
					RequestCancelled(id)}, actions[:0])
			}
		})
	}
}

// withoutWakes formats all actions but ActionWake.
func withoutWakes(actions []Action) (text string) {
	for _, action := range actions {
		if action.Kind != ActionWake {
			text += fmt.Sprintf("%+v; ", action)
		}
	}
	return text
}

// periodicState formats the state that the periodic decisions change, rounded.
func periodicState(controller *Controller) string {
	limiter, advisor := controller.calls.limiter, &controller.advisor
	return fmt.Sprintf("admit %.6f calls %.6f best %.6f runs %.6f delay %.6f idle %v",
		controller.admitProbability.probability, limiter.limitRatio, limiter.bestCallTime, controller.runs.runLimit,
		advisor.readDelay.mean.Value(), advisor.idleTimeout.current)
}

// Wakes are asked for only if the pending one is too late. Skipped decisions are made up for, but only
// maxSkippedIntervals of them after the machine was suspended.
func TestTimersSkipPeriodicDecisionsWhileIdle(t *testing.T) {
	var timers timers
	require.True(t, timers.start())
	require.False(t, timers.start())
	require.True(t, timers.periodicDue(0))
	require.False(t, timers.periodicDue(50*ms))
	at, ok := timers.schedule(50*ms, false)
	require.True(t, ok)
	require.Equal(t, periodicInterval, at)
	_, ok = timers.schedule(60*ms, false)
	require.False(t, ok, "the pending wake is early enough")
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
	require.Equal(t, maxSkippedIntervals*periodicInterval, at)
	decisions := 0
	timers.catchUp(450*ms, func() { decisions++ })
	require.Equal(t, 4, decisions, "at 100, 200, 300 and 400 ms")
	timers.schedule(450*ms, true)
	decisions = 0
	timers.catchUp(time.Hour, func() { decisions++ })
	require.Equal(t, maxSkippedIntervals, decisions, "after the machine was suspended")
}

// Deadlines of requests that have ended or need no answer must not be acted on, nor stay in the queue.
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

// Clients that send the next request as soon as one is rejected or cancelled must not make the deadlines grow with their rate.
// Deadlines of requests that had ended were kept until those times, and took the server over its memory.
func TestDeadlinesOfEndedRequestsAreRemoved(t *testing.T) {
	const keyed, unkeyed = 0, 1
	ends := map[string]func(id RequestID) []Event{
		"rejected, unkeyed":  func(id RequestID) []Event { return []Event{tooLateRequest(id, unkeyed)} },
		"rejected, keyed":    func(id RequestID) []Event { return []Event{tooLateRequest(id, keyed)} },
		"cancelled, unkeyed": func(id RequestID) []Event { return []Event{arrived(id, unkeyed), RequestCancelled(id)} },
		"cancelled, keyed":   func(id RequestID) []Event { return []Event{arrived(id, keyed), RequestCancelled(id)} },
	}
	for name, events := range ends {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Classes = settings.Classes[:2]
			settings.Classes[keyed].Idempotency = IdempotentByKey
			settings.Classes[keyed].IdempotencyWindow = time.Minute
			settings.Classes[unkeyed].Idempotency = Unsafe
			controller := startController(t, settings)
			largest, now := 0, time.Duration(1)
			for id := RequestID(1); id < 100*minPurgeSize; id++ {
				now += 10 * time.Microsecond
				controller.Step(now, events(id), nil)
				largest = max(largest, TableSizesOf(controller).Deadlines)
			}
			require.LessOrEqual(t, largest, minPurgeSize+1)
			require.LessOrEqual(t, len(controller.requests), 1) // the first one is admitted as a trial
		})
	}
}

// tooLateRequest returns the arrival of a request that is rejected at once, because it can't be answered in time.
func tooLateRequest(id RequestID, class int) Event {
	return RequestArrived(id, Arrival{Class: class, MemoryKB: 1, CostHint: time.Hour})
}

// A purge must remove only deadlines that are obsolete: the others must pass at their times, in order.
func TestPurgeKeepsDeadlinesInUse(t *testing.T) {
	const inUse = 3 * minPurgeSize
	var timers timers
	for i := range 2 * inUse {
		open := &request{id: RequestID(i), state: queued}
		if i%2 == 1 {
			open.state = released
		}
		timers.add(time.Duration((i*7919)%inUse), deadline{kind: deadlineAnswer, request: open})
		timers.add(time.Duration((i*104729)%inUse), deadline{kind: deadlineKey, id: RequestID(i)})
		timers.purgeObsolete(func(id RequestID) bool { return id%2 == 1 })
	}
	require.LessOrEqual(t, timers.deadlines.Len(), 2*2*inUse)
	answers, keys, last := 0, 0, time.Duration(0)
	for timers.deadlines.Len() > 0 {
		due, at, _ := timers.deadlines.Peek()
		timers.deadlines.Pop()
		require.GreaterOrEqual(t, at, last)
		last = at
		switch {
		case due.kind == deadlineAnswer && due.request.state == queued:
			answers++
		case due.kind == deadlineKey && due.id%2 == 0:
			keys++
		}
	}
	require.Equal(t, inUse, answers)
	require.Equal(t, inUse, keys)
}

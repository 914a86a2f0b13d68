package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testKeyTable returns a key table and the parts that it uses.
func testKeyTable(settings Settings) (*keyTable, *memoryBudget, *timers, *actionBuffer) {
	memory, timers, actions := &memoryBudget{}, &timers{}, &actionBuffer{}
	memory.configure(&settings)
	keys := newKeyTable(memory, timers, actions)
	keys.configure(&settings)
	return &keys, memory, timers, actions
}

// An entry must last until the window of its class ends, counted from the arrival, and at least one tick. Its
// memory is released exactly once, whether it expires or is forgotten.
func TestKeyTableRemembersForTheWindow(t *testing.T) {
	keys, memory, timers, actions := testKeyTable(testSettings())
	known := &request{id: 4, class: 1, arrivedAt: time.Second}
	require.True(t, keys.reserve(2*time.Second, known))
	require.True(t, known.remembered)
	require.Equal(t, []Action{{Kind: ActionRemember, ID: 4, Duration: 7 * time.Second}}, actions.take())
	require.InDelta(t, 10, memory.usedKB, 0)
	_, ok := timers.expired(9*time.Second - 1)
	require.False(t, ok)
	due, ok := timers.expired(9 * time.Second)
	require.True(t, ok)
	require.Equal(t, deadline{kind: deadlineKey, id: 4}, due)
	keys.expire(4)
	keys.expire(4)
	require.Zero(t, memory.usedKB)
	require.Zero(t, keys.len())
	require.Empty(t, actions.take(), "the owner drops an expired entry by itself")

	old := &request{id: 5, class: 1}
	require.True(t, keys.reserve(time.Hour, old))
	require.Equal(t, 5*ms, actions.take()[0].Duration, "at least one tick")
	keys.forget(time.Hour, old)
	require.False(t, old.remembered)
	require.Equal(t, []Action{{Kind: ActionForget, ID: 5}}, actions.take())
	keys.forget(time.Hour, old)
	require.Empty(t, actions.take())
	require.Zero(t, memory.usedKB)
}

// A key that would exceed the memory limit must not be remembered.
func TestKeyIsNotReservedWithoutMemory(t *testing.T) {
	keys, memory, _, actions := testKeyTable(testSettings())
	memory.reserve(memory.limitKB() - 9)
	require.False(t, keys.reserve(0, &request{id: 1, class: 1}))
	require.Empty(t, actions.take())
}

// Only results of reads are cached, only with a CacheTTL, and only while enough memory is free.
func TestReadResultsAreCachedWhileMemoryAllows(t *testing.T) {
	settings := testSettings()
	settings.CacheTTL = time.Second
	keys, memory, _, actions := testKeyTable(settings)
	keys.cacheResult(0, &request{id: 1, class: 0})
	require.Equal(t, []Action{{Kind: ActionRemember, ID: 1, Duration: time.Second}}, actions.take())
	keys.cacheResult(0, &request{id: 2, class: 1})
	keys.cacheResult(0, &request{id: 3, class: 2})
	require.Empty(t, actions.take(), "not reads")
	memory.reserve(memory.limitKB() / 2)
	keys.cacheResult(0, &request{id: 4, class: 0})
	require.Empty(t, actions.take(), "half of the memory is in use")
	for class, reuses := range []bool{true, true, false, true} {
		require.Equal(t, reuses, keys.reusesResults(class), class)
	}
	settings.CacheTTL = 0
	keys.configure(&settings)
	for class, reuses := range []bool{false, true, false, false} {
		require.Equal(t, reuses, keys.reusesResults(class), class)
	}
}

// A request that was started, but that the agent did not run, must not keep memory for its key: clients whose requests the agent
// does not know filled the memory, and orders of others were rejected for the whole window.
func TestKeyOfRunThatNeverStartedIsForgotten(t *testing.T) {
	settings := testSettings()
	settings.MemoryKB = 1000
	settings.KeyMemoryKB = 100
	settings.Classes = settings.Classes[:1]
	settings.Classes[0].Idempotency = IdempotentByKey
	settings.Classes[0].IdempotencyWindow = time.Minute
	controller := startController(t, settings)
	now := time.Duration(1)
	for id := RequestID(1); id <= 100; id++ {
		now += ms
		actions := controller.Step(now, []Event{RequestArrived(id, Arrival{MemoryKB: 1, CostHint: ms})}, nil)
		require.Contains(t, actions, Action{Kind: ActionRun, ID: id})
		outcome := Completion{Outcome: OutcomeNotStarted}
		require.Contains(t, controller.Step(now, []Event{RunCompleted(id, outcome)}, nil), Action{Kind: ActionForget, ID: id})
	}
	require.Zero(t, controller.keys.len())
	require.InDelta(t, 0, controller.memory.usedKB, 1e-9)
}

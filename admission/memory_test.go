package admission

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The limit, the cache limit and the memory of running requests must follow from the settings. recount must
// compute the memory in use from the requests and keys.
func TestMemoryBudgetLimits(t *testing.T) {
	var memory memoryBudget
	memory.configure(&Settings{MemoryKB: 1000, RunningMemoryFactor: 4, KeyMemoryKB: 10})
	require.InDelta(t, 920, memory.limitKB(), 1e-9)
	require.InDelta(t, 60, memory.runningExtraKB(20), 0)
	memory.reserve(459)
	require.True(t, memory.allowsCaching())
	memory.reserve(461)
	require.False(t, memory.allowsCaching())
	require.False(t, memory.exceeded(), "at the limit")
	require.True(t, memory.wouldExceed(1))
	memory.reserve(1)
	require.True(t, memory.exceeded())
	memory.release(1)
	require.False(t, memory.exceeded())
	requests := map[RequestID]*request{1: {memoryKB: 10, state: queued}, 2: {memoryKB: 20, state: awaitingCall}}
	memory.recount(requests, 3)
	require.InDelta(t, 10+80+30, memory.usedKB, 0)
}

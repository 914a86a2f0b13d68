package server

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// referenceEvictionCandidate finds the eviction candidate by a scan of all connections.
func referenceEvictionCandidate(t *connectionTable) *connectionState {
	var candidate *connectionState
	for _, state := range t.states {
		if len(state.openRequests) > 0 {
			continue
		}
		if candidate == nil || state.kind < candidate.kind ||
			state.kind == candidate.kind && state.lastUsed < candidate.lastUsed {
			candidate = state
		}
	}
	return candidate
}

// After any sequence of changes, the table must find the same eviction candidate as a scan of all connections, and count
// the open requests correctly.
func TestConnectionTableAgainstReference(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		table := newConnectionTable(0)
		now := time.Duration(0)
		var all []*connectionState
		for step := range 2000 {
			now += time.Duration(rng.IntN(3)) // several changes may have the same time
			if len(all) == 0 || rng.IntN(8) == 0 {
				all = append(all, table.add(&recordingConnection{}, now))
				continue
			}
			i := rng.IntN(len(all))
			if removed := changeRandomly(&table, all[i], now, rng); removed {
				all[i] = all[len(all)-1]
				all = all[:len(all)-1]
			}
			requireMatchesReference(t, &table, all, fmt.Sprintf("seed %d, step %d", seed, step))
		}
	}
}

// changeRandomly makes one of the changes that the server makes to a connection of a table, and reports whether it has
// removed the connection.
func changeRandomly(table *connectionTable, state *connectionState, now time.Duration, rng *rand.Rand) (removed bool) {
	call := uint32(rng.IntN(3))
	switch rng.IntN(6) {
	case 0:
		table.markReceived(state, now)
	case 1:
		table.touch(state, now)
	case 2:
		table.openRequest(state, call, &activeRequest{})
	case 3:
		table.closeRequest(state, call)
	case 4:
		table.markNotified(state, now)
	case 5:
		if rng.IntN(3) == 0 {
			table.remove(state)
			return true
		}
	}
	return false
}

// requireMatchesReference compares a table with a scan of all its connections.
func requireMatchesReference(t *testing.T, table *connectionTable, all []*connectionState, step string) {
	t.Helper()
	open := 0
	for _, state := range all {
		open += len(state.openRequests)
	}
	require.Equal(t, open, table.openRequests)
	require.Equal(t, len(all), table.size())
	got := table.evictionCandidate()
	want := referenceEvictionCandidate(table)
	if want == nil {
		require.Nil(t, got, step)
	} else {
		require.Equal(t, [2]any{want.kind, want.lastUsed}, [2]any{got.kind, got.lastUsed}, step)
	}
}

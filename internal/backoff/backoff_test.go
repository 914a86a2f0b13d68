package backoff

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Delays must double up to MaxDelay, lose at most half to jitter, and start again from BaseDelay after Reset.
func TestDelaysDoubleWithinBounds(t *testing.T) {
	delays := New(Config{BaseDelay: 10 * time.Millisecond, MaxDelay: 200 * time.Millisecond, Seed: 7, Stream: 1})
	for range 2 {
		for _, unjittered := range []time.Duration{10, 20, 40, 80, 160, 200, 200} {
			unjittered *= time.Millisecond
			got := delays.Next()
			require.LessOrEqual(t, got, unjittered)
			require.GreaterOrEqual(t, got, unjittered/2)
		}
		delays.Reset()
	}
}

// Delays must depend on Seed and Stream alone, so that a simulation can be repeated.
func TestSameSeedSameDelays(t *testing.T) {
	config := Config{BaseDelay: 10, MaxDelay: 2000, Seed: 7, Stream: 1}
	otherStream := config
	otherStream.Stream = 2
	a, b, c := New(config), New(config), New(otherStream)
	same := true
	for range 10 {
		next := a.Next()
		require.Equal(t, next, b.Next())
		same = same && next == c.Next()
	}
	require.False(t, same)
}

// When a zone is partitioned for 400 ms, 300 servers lose their store at the same instant. Without jitter, all of them would
// dial it at the same time, again and again. With jitter, the first dials after the partition must be spread: fewer than a
// fifth of them in any 20 ms.
func TestJitterSpreadsReconnects(t *testing.T) {
	const servers = 300
	slots := map[time.Duration]int{}
	for seed := range uint64(servers) {
		b := New(Config{BaseDelay: 10 * time.Millisecond, MaxDelay: 200 * time.Millisecond, Seed: seed, Stream: 1})
		var at time.Duration
		for at < 400*time.Millisecond {
			at += b.Next()
		}
		slots[at/(20*time.Millisecond)]++ // the first attempt after the end of the partition
	}
	for slot, n := range slots {
		require.Less(t, n, servers/5, "in the 20 ms from %v", slot*20*time.Millisecond)
	}
	require.Greater(t, len(slots), 8)
}

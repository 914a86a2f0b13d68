// Package recorded pins what code decides over long runs of drawn inputs: the outputs are hashed, and the digest is
// compared with one that was taken before the code changed its shape.
package recorded

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	digestBytes = 8 // of a hash that a digest shows

	// Seed of all runs. Another one would change every digest.
	seedHigh = 32
	seedLow  = 5
)

// Run is a source of inputs that are the same each time, and takes the outputs.
type Run struct {
	Random *rand.Rand
	Now    time.Duration // of the run's own clock
	hash   hash.Hash
}

// Write hashes outputs by their texts. A type whose String method may change is written as a number.
func (r *Run) Write(outputs ...any) { fmt.Fprintln(r.hash, outputs...) }

// Require plays a run and compares the digest of its outputs.
func Require(t *testing.T, digest string, play func(*Run)) {
	t.Helper()
	run := &Run{Random: rand.New(rand.NewPCG(seedHigh, seedLow)), hash: sha256.New()}
	play(run)
	require.Equal(t, digest, fmt.Sprintf("%x", run.hash.Sum(nil)[:digestBytes]))
}

// Package recorded supports regression tests of decision code. A test feeds a long sequence of pseudorandom inputs to the code
// and hashes its outputs. The digest must equal one that was recorded before, so that a refactoring cannot change a decision
// unnoticed.
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
	digestBytes = 8 // leading bytes of the SHA-256 hash that make up a digest

	// Seed of the inputs of all runs. Another seed would change every digest.
	seedHigh = 32
	seedLow  = 5
)

// Run provides inputs that are the same in each run, and hashes the outputs.
type Run struct {
	Random *rand.Rand    // source of the inputs, with a fixed seed
	Now    time.Duration // time on the run's own clock, which the test advances
	hash   hash.Hash
}

// HashOutputs adds outputs to the hash, as fmt.Fprintln formats them. Convert a value whose String method may change to a
// number, so that the digest does not depend on its text.
func (r *Run) HashOutputs(outputs ...any) { fmt.Fprintln(r.hash, outputs...) }

// RequireDigest calls play with a new run, and requires that the digest of its outputs, in hexadecimal, equals digest.
func RequireDigest(t *testing.T, digest string, play func(*Run)) {
	t.Helper()
	run := &Run{Random: rand.New(rand.NewPCG(seedHigh, seedLow)), hash: sha256.New()}
	play(run)
	require.Equal(t, digest, fmt.Sprintf("%x", run.hash.Sum(nil)[:digestBytes]))
}

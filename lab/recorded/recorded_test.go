package recorded

import "testing"

// Guards against digests that depend on anything but the fixed seed and the outputs, such as state left by an earlier run: the
// digests recorded by other tests would no longer match.
func TestSameRunGivesSameDigest(t *testing.T) {
	const digest = "a5501a4773b69ac3"
	for range 2 {
		RequireDigest(t, digest, func(run *Run) {
			for range 100 {
				run.HashOutputs(run.Random.IntN(1000), run.Now)
			}
		})
	}
}

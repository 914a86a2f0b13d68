package recorded

import "testing"

// A run that draws and writes the same has the same digest each time.
func TestRequire(t *testing.T) {
	const digest = "a5501a4773b69ac3"
	for range 2 {
		Require(t, digest, func(run *Run) {
			for range 100 {
				run.Write(run.Random.IntN(1000), run.Now)
			}
		})
	}
}

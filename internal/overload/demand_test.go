package overload

import (
	"testing"

	"falldeal/internal/fleet"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Encoded demand must fit into a fleet record and be decoded with an error of at most 5%. The threshold must admit as much
// demand as the capacity allows. Noise from another member must not make the decoder panic.
func TestDemandEncodingAndThreshold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var demand Demand
		for range rapid.IntRange(0, 30).Draw(t, "bins") {
			bin := rapid.IntRange(0, demandBins-1).Draw(t, "bin")
			demand[bin] = rapid.Float64Range(2*minPublishedDemand, 1e4).Draw(t, "work")
		}
		encoded := demand.Append(nil)
		require.LessOrEqual(t, len(encoded), fleet.MaxDemand)
		var decoded Demand
		decoded.addEncoded(string(encoded), 1)
		for bin := range demand {
			require.InEpsilon(t, demand[bin]+1e-12, decoded[bin]+1e-12, 0.05)
		}
		require.InDelta(t, decoded.Total(), encodedDemandTotal(string(encoded)), 1e-6*decoded.Total())

		capacity := rapid.Float64Range(0.01, 1e5).Draw(t, "capacity")
		threshold, admitted := demand.thresholdFor(capacity), 0.0
		for bin, work := range demand {
			admitted += work * min(max(float64(bin+1)-threshold, 0), 1)
		}
		require.InDelta(t, min(capacity, demand.Total()), admitted, 1e-6*demand.Total()+1e-9)
		demand.addEncoded(string(rapid.SliceOfN(rapid.Byte(), 0, 80).Draw(t, "noise")), 1)
	})
}

package admission

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Each kind of Advert except AdvertOff must have its value for a draining server. Only AdvertCredit must have
// an initial value.
func TestAdvertisedValueAtStartAndDrain(t *testing.T) {
	for _, test := range []struct {
		advert   Advert
		start    float64
		hasStart bool
		drain    float64
		hasDrain bool
	}{
		{AdvertOff, 0, false, 0, false}, {AdvertLevel, 0, false, 1, true}, {AdvertCredit, 2, true, 0, true}, {AdvertWeight, 0, false, 0, true},
	} {
		advertiser := advertiser{advert: test.advert, cores: 4, clients: 5}
		value, ok := advertiser.atStart()
		require.Equal(t, test.hasStart, ok, test.advert)
		require.InDelta(t, test.start, value, 1e-12, test.advert)
		value, ok = advertiser.atDrain()
		require.Equal(t, test.hasDrain, ok, test.advert)
		require.InDelta(t, test.drain, value, 0, test.advert)
	}
	value, _ := (&advertiser{advert: AdvertCredit, cores: 4}).atStart()
	require.InDelta(t, 10, value, 0, "zero clients count as one")
}

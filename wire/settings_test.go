package wire

import (
	"strings"
	"testing"
	"time"

	"falldeal/admission"

	"github.com/stretchr/testify/require"
)

const sampleSettings = `{"Azs": ["a"], "FleetSize": 11, "TickUs": 5000, "Surprise": {"x": 1},
 "FamilyInfo": {"Advert": "credit", "Below": "shared", "Blowup": 4.0, "CallsByClass": [true, false], "CallsOut": 5.9,
 "CallsOverUs": 5000000, "ClassSkipWorth": [0.0, 0.5], "Cpus": 6, "Halt": "drop", "KbPerKey": 19.5, "MemoryKb": 9150.0},
 "Invariants": {"ColdShare": 0.21, "ColdUs": 18000000, "FallMultiple": 6.0, "FallUs": 1500000},
 "Lanes": [{"AimUs": 4300000, "DeadlineUs": 11000000, "Idempotency": "safe", "Name": "NAME", "Value": 1.0},
 {"AimUs": 2100000, "DeadlineUs": 5400000, "Idempotency": "keyed", "KeyTtlUs": 16101000, "Name": "reserve", "Value": 3}],
 "Tenants": [{"Name": "NAME", "Portion": 0.57, "QuotaPerS": 158.0}]}`

// Settings are read from the simulator's JSON. Unknown keys are ignored, and names of classes and tenants must not
// change the result.
func TestParseSettings(t *testing.T) {
	settings, err := ParseSettings([]byte(sampleSettings))
	require.NoError(t, err)
	require.Equal(t, 6, settings.Cores)
	require.Equal(t, admission.AdvertCredit, settings.Advert)
	require.Equal(t, admission.HaltDrop, settings.Halt)
	require.True(t, settings.Classes[0].CallsDependency)
	require.False(t, settings.Classes[1].CallsDependency)
	require.InDelta(t, 0.5, settings.Classes[1].DegradedValueRatio, 0)
	require.Equal(t, 16101*time.Millisecond, settings.Classes[1].IdempotencyWindow)
	require.InDelta(t, 158, settings.Tenants[0].QuotaPerSecond, 0)
	renamed, err := ParseSettings([]byte(strings.ReplaceAll(sampleSettings, "NAME", "other")))
	require.NoError(t, err)
	require.Equal(t, settings, renamed, "names of classes and tenants change the settings")
}

// Wrong enum values, lists of the wrong length and values of the wrong type must be rejected. The type is checked even for
// keys without an effect, such as TellsGone.
func TestParseSettingsErrors(t *testing.T) {
	for _, test := range []struct{ good, bad string }{
		{`"drop"`, `"maybe"`},
		{"[true, false]", "[true]"},
		{"[0.0, 0.5]", "[0.1, 0.2, 0.3]"},
		{"11,", `"x",`},
		{`"Cpus": 6`, `"Cpus": 6, "TellsGone": 1`},
		{`"Cpus": 6`, `"Cpus": 6, "PassesDeadline": 1`},
		{`"Cpus": 6`, `"Cpus": 6, "ListFollows": 1`},
	} {
		_, err := ParseSettings([]byte(strings.Replace(sampleSettings, test.good, test.bad, 1)))
		require.Error(t, err, "%s in place of %s", test.bad, test.good)
	}
}

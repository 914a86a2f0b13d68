package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/internal/configcheck"

	"github.com/stretchr/testify/require"
)

const samplePath = "testdata/config.json"

func noEnvironment(string) string { return "" }

// readSample returns the text of the sample file.
func readSample(tb testing.TB) string {
	tb.Helper()
	text, err := os.ReadFile(samplePath)
	require.NoError(tb, err)
	return string(text)
}

// The values in a valid file must appear in the configuration, and a controller must accept its settings.
func TestParse(t *testing.T) {
	cfg, err := Parse([]byte(readSample(t)), noEnvironment)
	require.NoError(t, err)
	require.Equal(t, "n3", cfg.Name)
	require.Equal(t, "127.0.0.1:8900", cfg.Store)
	require.Equal(t, uint64(0x8c1f30d27a5be964), cfg.Seed)
	require.Equal(t, 3200*time.Millisecond, cfg.StopTimeout)
	require.Equal(t, Limits{Cores: 1, MemoryMB: 192, FileDescriptors: 1024}, cfg.Limits)
	require.Equal(t, []string{"preview", "hires-crop", "licence-order"}, cfg.Classes)
	require.Equal(t, []string{"core_use", "on_cores", "heap_share", "links"}, cfg.Gauges)
	require.Equal(t, admission.IdempotentByKey, cfg.Settings.Classes[2].Idempotency)
	require.Equal(t, 17457*time.Millisecond, cfg.Settings.Classes[2].IdempotencyWindow)
	var callsDependency []bool
	for _, class := range cfg.Settings.Classes {
		callsDependency = append(callsDependency, class.CallsDependency)
	}
	require.Equal(t, []bool{true, false, true}, callsDependency)
	_, err = admission.New(cfg.Settings, cfg.Seed, 0)
	require.NoError(t, err, "a controller must accept what Parse accepts")
}

// A file without limits, seed and stop_ms must get the documented defaults.
func TestDefaults(t *testing.T) {
	text := strings.Replace(readSample(t), `"seed": "8c1f30d27a5be964", "stop_ms": 3200,`, "", 1)
	text = strings.Replace(text, `"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},`, "", 1)
	cfg, err := Parse([]byte(text), noEnvironment)
	require.NoError(t, err)
	require.Equal(t, defaultStopTimeout, cfg.StopTimeout)
	require.Equal(t, Limits{Cores: defaultCores, MemoryMB: defaultMemoryMB, FileDescriptors: defaultFileDescriptors}, cfg.Limits)
}

// The environment must override the file, and an invalid or missing variable must be named in the error.
func TestEnvironment(t *testing.T) {
	t.Setenv(envName, "n9")
	t.Setenv(envListen, "127.0.0.2:5050")
	t.Setenv(envPath, samplePath)
	cfg, err := Load("")
	require.NoError(t, err)
	require.Equal(t, "n9", cfg.Name)
	require.Equal(t, "127.0.0.2:5050", cfg.Listen)
	require.Empty(t, cfg.Console)
	t.Setenv(envConsole, "127.0.0.2:15000")
	cfg, err = Load("")
	require.NoError(t, err)
	require.Equal(t, "127.0.0.2:15000", cfg.Console)

	require.Empty(t, cfg.HandoverPath)
	t.Setenv(envInherited, "3")
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	cfg, err = Load("")
	require.NoError(t, err)
	require.EqualValues(t, 3, cfg.InheritedFD)
	require.Equal(t, filepath.Join(dir, "falldeal.sock"), cfg.HandoverPath)
	require.Equal(t, maxReplacedWait+replacedMargin, cfg.ReplacedStopTimeout)
	t.Setenv(envInherited, "stdin")
	_, err = Load("")
	requireKey(t, err, envInherited)

	t.Setenv(envPath, "")
	_, err = Load("")
	requireKey(t, err, envPath)
	_, err = Load(filepath.Join(dir, "absent"))
	require.Error(t, err)
}

// requireKey requires that an error is a *configcheck.KeyError for that key, and that its message contains the key.
func requireKey(t *testing.T, err error, key string) {
	t.Helper()
	require.ErrorContains(t, err, key)
	var keyError *configcheck.KeyError
	require.ErrorAs(t, err, &keyError)
	require.Equal(t, key, keyError.Key)
}

// A server must not start with an invalid value, or replace it by a guess. The error must name the key.
func TestInvalidKeysAreRejected(t *testing.T) {
	for _, test := range []struct{ old, new, key string }{
		{`"n3"`, `""`, "name:"},
		{`"n3"`, `7`, "name:"},
		{`"127.0.0.1:5050"`, `"localhost:5050"`, "listen:"},
		{`"127.0.0.1:4400"`, `"127.0.0.1"`, "agent:"},
		{`"127.0.0.1:8900"`, `"127.0.0.1:0"`, "store:"},
		{`"127.0.0.1:8761"`, `"127.0.0.1:99999"`, "announce:"},
		{`"name"`, `"console": "here", "name"`, "console:"},
		{`"8c1f30d27a5be964"`, `"seed"`, "seed:"},
		{`3200`, `0`, "stop_ms:"},
		{`3200`, `1.5`, "stop_ms:"},
		{`"cores": 1.0`, `"cores": -1`, "limits.cores:"},
		{`"cores": 1.0`, `"cores": nan`, "limits.cores:"},
		{`192`, `4`, "limits.memory_mb:"},
		{`1024`, `8`, "limits.sockets:"},
		{`"limits": {`, `"limits": 5, "old": {`, "limits:"},
		{`"settings"`, `"other"`, "settings:"},
		{`"Cpus": 6`, `"Cpus": 0`, "settings.FamilyInfo.Cpus:"},
		{`43152.0`, `-1`, "settings.FamilyInfo.MemoryKb:"},
		{`73.43`, `-1`, "settings.FamilyInfo.KbPerKey:"},
		{`16.0`, `-1`, "settings.FamilyInfo.Blowup:"},
		{`5.9`, `-1`, "settings.FamilyInfo.CallsOut:"},
		{`"Halt": "off"`, `"Halt": "maybe"`, "settings.FamilyInfo.Halt:"},
		{`"Advert": "off"`, `"Advert": "loud"`, "settings.FamilyInfo.Advert:"},
		{`"Below": "shared"`, `"Below": "beside"`, "settings.FamilyInfo.Below:"},
		{`"store": "127.0.0.1:8900",`, ``, "store:"},
		{`[true, false, true]`, `[true]`, "settings.FamilyInfo.CallsByClass:"},
		{`[true, false, true]`, `[true, 1, true]`, "settings.FamilyInfo.CallsByClass[1]:"},
		{`[0.6, 0.0, 0.0]`, `[0.6, "", 0.0]`, "settings.FamilyInfo.ClassSkipWorth[1]:"},
		{`18000000`, `-5`, "settings.Invariants.ColdUs:"},
		{`"TickUs": 5000`, `"TickUs": "5"`, "settings.TickUs:"},
		{`"preview"`, `"hires-crop"`, "settings.Lanes[1].Name:"},
		{`"preview"`, `""`, "settings.Lanes[0].Name:"},
		{`"keyed"`, `"once"`, "settings.Lanes[2].Idempotency:"},
		{`"DeadlineUs": 7000000`, `"DeadlineUs": 0`, "settings.Lanes[0].DeadlineUs:"},
		{`"Lanes": [`, `"Lanes": [], "Old": [`, "settings.Lanes:"},
		{`"Lanes": [`, `"Lanes": [3, `, "settings.Lanes[0]:"},
	} {
		text := strings.Replace(readSample(t), test.old, test.new, 1)
		_, err := Parse([]byte(text), noEnvironment)
		require.ErrorContains(t, err, test.key, "%s in place of %s", test.new, test.old)
		requireKey(t, err, strings.TrimSuffix(test.key, ":"))
	}
}

// Whatever Parse accepts must be settings with which a controller starts, or the server would fail later.
func FuzzParse(f *testing.F) {
	f.Add(readSample(f))
	f.Add(`{"settings":{"Lanes":[{}]}}`)
	f.Fuzz(func(t *testing.T, text string) {
		cfg, err := Parse([]byte(text), noEnvironment)
		if err == nil {
			_, err = admission.New(cfg.Settings, cfg.Seed, 0)
			require.NoError(t, err, "a controller must accept what Parse accepts")
		}
	})
}

// A reload may read a file that is truncated or partly written. The keys that are missing from it must not be replaced by
// their defaults; the reload must fail and name the first one.
func TestLoadNextRejectsTruncatedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	current, err := Parse([]byte(readSample(t)), noEnvironment)
	require.NoError(t, err)
	for _, test := range []struct{ old, new, key string }{
		{"", "", ""},
		{`"preview"`, `"poster"`, ""},
		{`[true, false, true]`, `[true, true, true]`, ""},
		{`"seed": "8c1f30d27a5be964",`, ``, "seed: missing"},
		{`"memory_mb": 192, `, ``, "limits.memory_mb: missing"},
		{`"KbPerKey": 73.43, `, ``, "settings.FamilyInfo.KbPerKey: missing"},
		{`"LateWorth": 0.2, "Name": "preview"`, `"Name": "preview"`, "settings.Lanes[].LateWorth: missing"},
		{`"stop_ms": 3200`, `"stop_ms": 3200, "more": 1`, ""},
		{`"DeadlineUs": 7000000`, `"DeadlineUs": "7000000"`, "settings.Lanes[0].DeadlineUs:"},
	} {
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(readSample(t), test.old, test.new, 1)), 0o600))
		_, err := current.LoadNext(path)
		if test.key == "" {
			require.NoError(t, err, test.new)
			continue
		}
		require.ErrorContains(t, err, test.key)
		key, _, _ := strings.Cut(test.key, ":")
		requireKey(t, err, key)
	}
	for _, text := range []string{"", readSample(t)[:len(readSample(t))/2]} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := current.LoadNext(path)
		require.Error(t, err)
	}
}

// Settings that the platform allows must not prevent the start of a server, even if the protocols do not support them: with
// "Halt": "drop", a server once did not start. The controller must not rely on such a feature, and UnsupportedKeys must name
// its key for the log.
func TestUnsupportedSettingsAreDisabled(t *testing.T) {
	withoutStore := strings.NewReplacer(`"Below": "shared"`, `"Below": "off"`, `"store": "127.0.0.1:8900",`, ``)
	for _, test := range []struct {
		name, old, new string
		unsupported    []string
		idempotency    admission.Idempotency
	}{
		{"unchanged sample", "", "", nil, admission.IdempotentByKey},
		{"halt drop", `"Halt": "off"`, `"Halt": "drop"`, []string{"settings.FamilyInfo.Halt"}, admission.IdempotentByKey},
		{"halt pause", `"Halt": "off"`, `"Halt": "pause"`, []string{"settings.FamilyInfo.Halt"}, admission.IdempotentByKey},
		{"halt absent", `"Halt": "off",`, ``, nil, admission.IdempotentByKey},
		{"advert level", `"Advert": "off"`, `"Advert": "level"`, []string{"settings.FamilyInfo.Advert"}, admission.IdempotentByKey},
		{"advert credit", `"Advert": "off"`, `"Advert": "credit"`, []string{"settings.FamilyInfo.Advert"}, admission.IdempotentByKey},
		{"advert weight", `"Advert": "off"`, `"Advert": "weight"`, []string{"settings.FamilyInfo.Advert"}, admission.IdempotentByKey},
		{"results reused between reads", `"FreshForUs": 0`, `"FreshForUs": 500000`, []string{"settings.FamilyInfo.FreshForUs"},
			admission.IdempotentByKey},
		{"dependency tier", `"Below": "shared"`, `"Below": "tier"`, nil, admission.IdempotentByKey},
		{"no limit of calls", `"CallsOut": 5.9, `, ``, nil, admission.IdempotentByKey},
		{"unsafe class", `"Idempotency": "keyed"`, `"Idempotency": "unsafe"`, nil, admission.Unsafe},
		{"idempotency window absent", `"KeyTtlUs": 17457000, `, ``, nil, admission.IdempotentByKey},
		{"short deadline", `"DeadlineUs": 7000000`, `"DeadlineUs": 1`, nil, admission.IdempotentByKey},
		{"deadline not sent", `"PassesDeadline": true,`, ``, nil, admission.IdempotentByKey},
		{"no Limits", `"Limits": {`, `"Old": {`, nil, admission.IdempotentByKey},
		{"no Invariants", `"Invariants": {`, `"Old": {`, nil, admission.IdempotentByKey},
		{"tenants", `"Tenants": []`, `"Tenants": [{"Name": "a", "Portion": 0.5, "QuotaPerS": 3.5}]`, nil,
			admission.IdempotentByKey},
		{"unknown keys", `"FleetSize"`, `"Later": [{"x": null}], "FleetSize"`, nil, admission.IdempotentByKey},
	} {
		text := strings.Replace(readSample(t), test.old, test.new, 1)
		require.True(t, test.old == "" || text != readSample(t), test.name)
		cfg, err := Parse([]byte(text), noEnvironment)
		require.NoError(t, err, test.name)
		require.Equal(t, test.unsupported, cfg.UnsupportedKeys, test.name)
		require.Equal(t, admission.HaltOff, cfg.Settings.Halt, test.name)
		require.Equal(t, admission.AdvertOff, cfg.Settings.Advert, test.name)
		require.Zero(t, cfg.Settings.CacheTTL, test.name)
		require.Equal(t, test.idempotency, cfg.Settings.Classes[2].Idempotency, test.name)
		_, err = admission.New(cfg.Settings, cfg.Seed, 0)
		require.NoError(t, err, test.name)
	}
	cfg, err := Parse([]byte(withoutStore.Replace(readSample(t))), noEnvironment) // without calls no store is required
	require.NoError(t, err)
	require.False(t, cfg.Settings.Classes[0].CallsDependency)
}

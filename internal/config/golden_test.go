package config

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"falldeal/internal/configcheck"
	"falldeal/lab/golden"

	"github.com/stretchr/testify/require"
)

// absent, given as a value to withValue, removes the key.
const absent = ""

// fullSample returns the sample file with a value for every key that is read.
func fullSample(t *testing.T) map[string]any {
	t.Helper()
	var root map[string]any
	require.NoError(t, json.Unmarshal([]byte(readSample(t)), &root))
	root["console"] = "127.0.0.1:15000"
	settings, ok := root["settings"].(map[string]any)
	require.True(t, ok)
	settings["Tenants"] = []any{map[string]any{"Name": "a", "Portion": 0.5, "QuotaPerS": 3.5}}
	return root
}

// withValue returns fullSample with value, a JSON text, at path, such as settings.Lanes[0].Name.
func withValue(t *testing.T, path, value string) []byte {
	t.Helper()
	const placeholder = "@value@"
	root := fullSample(t)
	steps := strings.Split(strings.NewReplacer("[", ".", "]", "").Replace(path), ".")
	var parent any = root
	for _, step := range steps[:len(steps)-1] {
		parent = child(t, parent, step)
	}
	last := steps[len(steps)-1]
	switch container := parent.(type) {
	case map[string]any:
		container[last] = placeholder
		if value == absent {
			delete(container, last)
		}
	case []any:
		i, err := strconv.Atoi(last)
		require.NoError(t, err)
		container[i] = placeholder
	}
	text, err := json.Marshal(root)
	require.NoError(t, err)
	return []byte(strings.Replace(string(text), strconv.Quote(placeholder), value, 1))
}

// child returns the member of an object or the element of a list with that name or index.
func child(t *testing.T, parent any, step string) any {
	t.Helper()
	if object, ok := parent.(map[string]any); ok {
		require.Contains(t, object, step)
		return object[step]
	}
	i, err := strconv.Atoi(step)
	require.NoError(t, err)
	list, ok := parent.([]any)
	require.True(t, ok, "%T", parent)
	return list[i]
}

// keyPaths returns the paths of all values in value, including objects and lists, in sorted order. path is that of value.
func keyPaths(path string, value any) (paths []string) {
	if path != "" {
		paths = append(paths, path)
	}
	switch container := value.(type) {
	case map[string]any:
		for name, member := range container {
			paths = append(paths, keyPaths(strings.TrimPrefix(path+"."+name, "."), member)...)
		}
	case []any:
		for i, item := range container {
			paths = append(paths, keyPaths(fmt.Sprintf("%s[%d]", path, i), item)...)
		}
	}
	slices.Sort(paths)
	return paths
}

// outcome returns the message of err, or "accepted" if it is nil.
func outcome(err error) string {
	if err == nil {
		return "accepted"
	}
	return err.Error()
}

// keyOutcome is outcome, and requires that err is nil or a *configcheck.KeyError.
func keyOutcome(t *testing.T, err error) string {
	t.Helper()
	if err != nil {
		var keyError *configcheck.KeyError
		require.ErrorAs(t, err, &keyError)
	}
	return outcome(err)
}

// No key may be ignored by mistake. With a value of the wrong type the message must name the key; without the key it must
// have its default or be reported as missing.
func TestGoldenWrongTypeOfEveryKey(t *testing.T) {
	var got strings.Builder
	for _, path := range keyPaths("", fullSample(t)) {
		for _, value := range []string{"{}", "[]", `"word"`, "true", "7.5", "null"} {
			_, err := Parse(withValue(t, path, value), noEnvironment)
			fmt.Fprintf(&got, "%s = %s\n\t%s\n", path, value, keyOutcome(t, err))
		}
		if !strings.HasSuffix(path, "]") {
			_, err := Parse(withValue(t, path, absent), noEnvironment)
			fmt.Fprintf(&got, "%s is absent\n\t%s\n", path, keyOutcome(t, err))
		}
	}
	golden.RequireText(t, "types", got.String())
}

// A value of the right type that is out of range must be rejected with a message that names the key.
func TestGoldenInvalidValues(t *testing.T) {
	var got strings.Builder
	for _, test := range []struct{ path, value string }{
		{"name", `""`},
		{"listen", `""`},
		{"listen", `"localhost:5050"`},
		{"listen", `"127.0.0.1:0"`},
		{"agent", `""`},
		{"agent", `"127.0.0.1"`},
		{"store", `""`},
		{"store", `"127.0.0.1:0"`},
		{"announce", `""`},
		{"announce", `"127.0.0.1:99999"`},
		{"console", `"here"`},
		{"console", `"127.0.0.1:0"`},
		{"console", `"127.0.0.1:http"`},
		{"seed", `"seed"`},
		{"seed", `"0123456789abcdef0"`},
		{"seed", `"a word that is so long that a message should not repeat the whole of it"`},
		{"stop_ms", `0`},
		{"stop_ms", `-1`},
		{"stop_ms", `3600001`},
		{"stop_ms", `3600000`},
		{"limits.cores", `0`},
		{"limits.cores", `-1`},
		{"limits.cores", `nan`},
		{"limits.cores", `inf`},
		{"limits.memory_mb", `31`},
		{"limits.memory_mb", `32`},
		{"limits.memory_mb", `1e300`},
		{"limits.sockets", `63`},
		{"limits.sockets", `64`},
		{"settings.FamilyInfo.Cpus", `0`},
		{"settings.FamilyInfo.MemoryKb", `0`},
		{"settings.FamilyInfo.MemoryKb", `-1.5`},
		{"settings.FamilyInfo.Blowup", `-1`},
		{"settings.FamilyInfo.KbPerKey", `-1`},
		{"settings.FamilyInfo.CallsOut", `-1`},
		{"settings.FamilyInfo.CallsOverUs", `-1`},
		{"settings.FamilyInfo.StaysForUs", `-1`},
		{"settings.FamilyInfo.FreshForUs", `-1`},
		{"settings.FamilyInfo.IdleUs", `-1`},
		{"settings.FamilyInfo.IdleUs", `9007199254740992`},
		{"settings.FamilyInfo.IdleUs", `9007199254740994`},
		{"settings.FamilyInfo.Halt", `"maybe"`},
		{"settings.FamilyInfo.Halt", `"drop"`},
		{"settings.FamilyInfo.Halt", `"pause"`},
		{"settings.FamilyInfo.Advert", `"loud"`},
		{"settings.FamilyInfo.Advert", `"level"`},
		{"settings.FamilyInfo.Advert", `"credit"`},
		{"settings.FamilyInfo.Advert", `"weight"`},
		{"settings.FamilyInfo.Below", `"beside"`},
		{"settings.FamilyInfo.Below", `"tier"`},
		{"settings.FamilyInfo.CallsByClass", `[true]`},
		{"settings.FamilyInfo.CallsByClass[1]", `1`},
		{"settings.FamilyInfo.ClassSkipWorth", `[0.5]`},
		{"settings.FamilyInfo.ClassSkipWorth[1]", `""`},
		{"settings.FamilyInfo.Gauges[1]", `5`},
		{"settings.Invariants.ColdUs", `-1`},
		{"settings.Invariants.FallUs", `-1`},
		{"settings.Invariants.GraceToAnswerUs", `-1`},
		{"settings.Invariants.StopSendingWithinUs", `-1`},
		{"settings.Limits.MaxRetryAfterUs", `-1`},
		{"settings.TickUs", `-1`},
		{"settings.TickUs", `1.5`},
		{"settings.Lanes", `[]`},
		{"settings.Lanes", `[3]`},
		{"settings.Lanes[0].Name", `""`},
		{"settings.Lanes[1].Name", `"preview"`},
		{"settings.Lanes[0].AimUs", `0`},
		{"settings.Lanes[1].DeadlineUs", `0`},
		{"settings.Lanes[2].KeyTtlUs", `-1`},
		{"settings.Lanes[2].Idempotency", `"once"`},
		{"settings.Lanes[2].Idempotency", `"unsafe"`},
		{"settings.Tenants", `[3]`},
	} {
		_, err := Parse(withValue(t, test.path, test.value), noEnvironment)
		fmt.Fprintf(&got, "%s = %s\n\t%s\n", test.path, test.value, keyOutcome(t, err))
	}
	golden.RequireText(t, "values", got.String())
}

// A file that cannot be read or parsed, and an invalid environment variable, must be named in the message.
func TestGoldenLoad(t *testing.T) {
	dir := t.TempDir()
	inDirectory := func(name string) string {
		if strings.HasSuffix(name, ".json") {
			return filepath.Join(dir, name)
		}
		return name
	}
	for name, text := range map[string]string{
		"good.json":  string(withValue(t, "name", `"n3"`)),
		"word.json":  "word",
		"list.json":  "[]",
		"cut.json":   `{"name": "n3",`,
		"empty.json": "",
		"none.json":  "{}",
		"bad.json":   string(withValue(t, "stop_ms", "0")),
	} {
		require.NoError(t, os.WriteFile(inDirectory(name), []byte(text), 0o600))
	}
	for _, name := range []string{envPath, envName, envListen, envConsole, envInherited} {
		t.Setenv(name, "")
	}
	var got strings.Builder
	for _, test := range []struct{ path, variable, value string }{
		{"", envName, ""},
		{"", envPath, "absent.json"},
		{"absent.json", envName, ""},
		{"word.json", envName, ""},
		{"list.json", envName, ""},
		{"cut.json", envName, ""},
		{"empty.json", envName, ""},
		{"none.json", envName, ""},
		{"bad.json", envName, ""},
		{"", envPath, "bad.json"},
		{"good.json", envName, "n9"},
		{"good.json", envListen, "localhost:1"},
		{"good.json", envConsole, "here"},
		{"good.json", envInherited, "stdin"},
		{"good.json", envInherited, "0"},
		{"good.json", envInherited, "70000"},
		{"good.json", envInherited, "3"},
	} {
		t.Setenv(test.variable, inDirectory(test.value))
		_, err := Load(inDirectory(test.path))
		fmt.Fprintf(&got, "Load %q with %s=%q\n\t%s\n", test.path, test.variable, test.value, outcome(err))
		t.Setenv(test.variable, "")
	}
	for _, path := range []string{"", "absent.json", "word.json", "list.json", "none.json", "good.json"} {
		digest, err := Digest(inDirectory(path))
		fmt.Fprintf(&got, "Digest %q\n\t%016x, %s\n", path, digest, outcome(err))
	}
	for _, text := range []string{"word", "7", "{}", `{"Lanes": [{"AimUs": "soon"}]}`, `{"Lanes": [{}]}`} {
		_, err := Settings([]byte(text))
		fmt.Fprintf(&got, "Settings %s\n\t%s\n", text, outcome(err))
	}
	golden.RequireText(t, "load", strings.ReplaceAll(got.String(), dir, "(folder)"))
}

// For every key of the current configuration, a file without it must be rejected with a message that names the key.
func TestGoldenLoadNext(t *testing.T) {
	current, err := Parse(withValue(t, "name", `"n3"`), noEnvironment)
	require.NoError(t, err)
	dir := t.TempDir()
	path := filepath.Join(dir, "next.json")
	var got strings.Builder
	for _, key := range keyPaths("", fullSample(t)) {
		if strings.HasSuffix(key, "]") {
			continue
		}
		require.NoError(t, os.WriteFile(path, withValue(t, key, absent), 0o600))
		_, err := current.LoadNext(path)
		fmt.Fprintf(&got, "%s is absent\n\t%s\n", key, outcome(err))
	}
	golden.RequireText(t, "successor", strings.ReplaceAll(got.String(), dir, "(folder)"))
}

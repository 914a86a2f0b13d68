package golden

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// writeGolden writes a golden file to the testdata directory of a new working directory.
func writeGolden(t *testing.T, file, text string) {
	t.Helper()
	t.Chdir(t.TempDir())
	require.NoError(t, os.Mkdir(folder, 0o755))
	require.NoError(t, os.WriteFile(filepath.Join(folder, file), []byte(text), 0o600))
}

// Guards against a text that changes between writing and reading: text after the first separator must be kept as it
// is.
func TestReadReturnsRequiredCases(t *testing.T) {
	writeGolden(t, "texts.golden", "a: 1\nb: x: y \n")
	Require(t, "texts.golden", []Case{{"a", "1"}, {"b", "x: y "}})
	require.Equal(t, map[string]string{"a": "1", "b": "x: y "}, Read(t, "texts.golden", 2))
}

// Guards against bytes that change between writing and reading: an empty byte string is a frame too.
func TestReadFramesReturnsRequiredFrames(t *testing.T) {
	writeGolden(t, "frames.hex", "a: 0x00ff\nb: 0x\n")
	RequireFrames(t, "frames.hex", []Frame{{"a", []byte{0, 0xff}}, {"b", nil}})
	require.Equal(t, map[string][]byte{"a": {0, 0xff}, "b": {}}, ReadFrames(t, "frames.hex", 2))
}

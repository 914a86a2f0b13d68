// Package golden compares the output of a test with files in its testdata directory. A file holds a whole text, or
// one named text per line, or one named byte string per line. With the flag -update, a test writes its files instead
// of failing.
package golden

import (
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing with them")

const (
	folder        = "testdata"
	textExtension = ".golden"
	separator     = ": "
	hexPrefix     = "0x"
	fileMode      = 0o600
)

// RequireText compares got with testdata/NAME.golden byte for byte.
func RequireText(t *testing.T, name, got string) {
	t.Helper()
	RequireFile(t, name+textExtension, got)
}

// RequireFile compares got with a file in testdata byte for byte.
func RequireFile(t *testing.T, file, got string) {
	t.Helper()
	path := filepath.Join(folder, file)
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), fileMode))
	}
	want, err := os.ReadFile(path) //nolint:gosec // the calling test names the file
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// Case is one line of a golden file: a name, and a text without a line break.
type Case struct{ Name, Text string }

// Require compares cases with a file in testdata. The file must hold exactly these cases in this order.
func Require(t *testing.T, file string, cases []Case) {
	t.Helper()
	var got strings.Builder
	for _, golden := range cases {
		got.WriteString(golden.Name + separator + golden.Text + "\n")
	}
	RequireFile(t, file, got.String())
}

// Read returns the texts of a file in testdata by name. The file must hold count cases.
func Read(t *testing.T, file string, count int) map[string]string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(folder, file)) //nolint:gosec // the calling test names the file
	require.NoError(t, err)
	texts := map[string]string{}
	for line := range strings.Lines(string(content)) {
		name, text, found := strings.Cut(strings.TrimSuffix(line, "\n"), separator)
		require.True(t, found, line)
		require.NotContains(t, texts, name)
		texts[name] = text
	}
	require.Len(t, texts, count)
	return texts
}

// Frame is one line of a golden file of byte strings: a name, and bytes that the file holds as 0x and hexadecimal
// digits.
type Frame struct {
	Name  string
	Bytes []byte
}

// RequireFrames compares frames with a file in testdata. The file must hold exactly these frames in this order.
func RequireFrames(t *testing.T, file string, frames []Frame) {
	t.Helper()
	var cases []Case
	for _, frame := range frames {
		cases = append(cases, Case{Name: frame.Name, Text: hexPrefix + hex.EncodeToString(frame.Bytes)})
	}
	Require(t, file, cases)
}

// ReadFrames returns the byte strings of a file in testdata by name. The file must hold count frames.
func ReadFrames(t *testing.T, file string, count int) map[string][]byte {
	t.Helper()
	frames := map[string][]byte{}
	for name, text := range Read(t, file, count) {
		digits, found := strings.CutPrefix(text, hexPrefix)
		require.True(t, found, name)
		frame, err := hex.DecodeString(digits)
		require.NoError(t, err, name)
		frames[name] = frame
	}
	return frames
}

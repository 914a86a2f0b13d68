package handover

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"falldeal/lab/golden"

	"github.com/stretchr/testify/require"
)

const goldenMessages = "messages.jsonl" // in testdata

// goldenCases covers every message type and every field, with one message for each line of the golden file.
var goldenCases = []struct {
	name    string
	message Message
}{
	{"known", KeyKnown{IdempotencyKey: "ab12", Digest: 0xfedcba9876543210, WindowEnd: 1796147027278 * time.Millisecond}},
	{"known, digest without leading zeros", KeyKnown{IdempotencyKey: "00ff", Digest: 0x1a, WindowEnd: 1}},
	{"known, greatest numbers", KeyKnown{IdempotencyKey: "ab12", Digest: math.MaxUint64, WindowEnd: math.MaxInt64}},
	{"over, success with a result",
		RunCompleted{IdempotencyKey: "ab12", OK: true, Result: []byte("\x00\xff\r\n\"result")}},
	{"over, success with an empty result", RunCompleted{IdempotencyKey: "ab12", OK: true}},
	{"over, failure", RunCompleted{IdempotencyKey: "ab12"}},
	{"free", KeyReleased{IdempotencyKey: "ab12"}},
	{"claim", KeyClaim{IdempotencyKey: "ab12", Digest: 7, ArrivedAt: 1796147027278 * time.Millisecond}},
	{"claim, negative time", KeyClaim{IdempotencyKey: "ab12", Digest: 7, ArrivedAt: -1}},
	{"grant", KeyGranted{IdempotencyKey: "ab12"}},
	{"synced", KeysSynced{}},
	{"claim of a process that awaits the exit of its predecessor",
		KeyClaim{IdempotencyKey: "ab12", Digest: 7, ArrivedAt: 1, AwaitsExit: true}},
	{"end of the runs", RunsEnded{}},
}

// The lines that a process writes must not change: the process at the other end may run another version.
func TestGoldenMessagesWritten(t *testing.T) {
	var got []byte
	for _, testCase := range goldenCases {
		got = appendMessage(got, testCase.message)
	}
	golden.RequireFile(t, goldenMessages, string(got))
}

// Lines that other versions have written must be read as the messages that they were.
func TestGoldenMessagesRead(t *testing.T) {
	file, err := os.ReadFile(filepath.Join("testdata", goldenMessages))
	require.NoError(t, err)
	lines := bytes.SplitAfter(file, []byte("\n"))
	require.Len(t, lines, len(goldenCases)+1, "a line for each case, and nothing after the last")
	require.Empty(t, lines[len(goldenCases)])
	lineParser := newParser()
	for i, testCase := range goldenCases {
		got, err := lineParser.Parse(lines[i])
		require.NoError(t, err, testCase.name)
		require.Equal(t, testCase.message, got, testCase.name)
	}
}

// A field that a later version has added must be ignored.
func TestGoldenMessageWithAddedField(t *testing.T) {
	lineParser := newParser()
	const line = `{"cmd":"claim","once":"ab12","digest":"7","at":"-1","ok":false,"body":"","added":{"a":[1]}}` + "\n"
	got, err := lineParser.Parse([]byte(line))
	require.NoError(t, err)
	require.Equal(t, KeyClaim{IdempotencyKey: "ab12", Digest: 7, ArrivedAt: -1}, got)
}

// Processes of different versions find each other by the names of the socket and of its lock file, so these names must not
// change. No other file may be left behind.
func TestGoldenSocketNames(t *testing.T) {
	dir, err := os.MkdirTemp("", "handover") // short, because the length of a socket path is limited
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, os.RemoveAll(dir)) })
	found := join(filepath.Join(dir, "socket"))
	require.NoError(t, found.dialErr)
	require.NoError(t, found.listenErr)
	require.Nil(t, found.predecessor)
	defer found.listener.Close()
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	require.Equal(t, []string{"socket", "socket.lock"}, names)
}

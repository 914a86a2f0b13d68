package overload

import (
	"encoding/hex"
	"flag"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"

	"falldeal/internal/fleet"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
)

var update = flag.Bool("update", false, "rewrite the golden files from what the code produces")

const (
	goldenLeases     = "testdata/leases.hex"
	goldenReports    = "testdata/reports.hex"
	goldenAggregates = "testdata/sums.hex"
	goldenPartials   = "testdata/parts.hex"
	goldenDemands    = "testdata/offers.hex"
	goldenAgreement  = "testdata/agreement.txt"
)

// requireGolden compares what the code produces now with a golden file.
func requireGolden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// readFrames reads a golden file of frames: a line for each, with its name and its bytes in hex digits.
func readFrames(t *testing.T, path string) map[string][]byte {
	t.Helper()
	file, err := os.ReadFile(path)
	require.NoError(t, err)
	frames := map[string][]byte{}
	for line := range strings.Lines(string(file)) {
		name, digits, found := strings.Cut(strings.TrimSpace(line), ": 0x")
		require.True(t, found, line)
		require.NotContains(t, frames, name)
		frames[name], err = hex.DecodeString(digits)
		require.NoError(t, err, name)
	}
	return frames
}

// frameCase is a value with the name of its frame. Read is what the receiver makes of it, where that differs.
type frameCase[T any] struct {
	name  string
	value T
	read  *T
}

func writeFrames[T any](cases []frameCase[T], appendTo func(b []byte, v T) []byte) string {
	var text strings.Builder
	for _, test := range cases {
		fmt.Fprintf(&text, "%s: 0x%x\n", test.name, appendTo(nil, test.value))
	}
	return text.String()
}

// requireRead reads each frame of a golden file and compares it with the value of its case.
func requireRead[T any](t *testing.T, path string, cases []frameCase[T], parse func(b []byte) T) {
	t.Helper()
	frames := readFrames(t, path)
	require.Len(t, frames, len(cases))
	for _, test := range cases {
		require.Contains(t, frames, test.name)
		want := test.value
		if test.read != nil {
			want = *test.read
		}
		require.Equal(t, want, parse(frames[test.name]), test.name)
	}
}

var (
	goldenBorrower = ProcessID{Name: "n1", Run: 0x0102030405060708}
	goldenLender   = ProcessID{Name: "n2", Run: math.MaxUint64}
	longProcess    = ProcessID{Name: strings.Repeat("x", fleet.MaxText), Run: math.MaxUint64}
)

func goldenLeaseCases() []frameCase[Message] {
	withoutAmount := Message{Kind: LeaseGrant, From: goldenLender, To: goldenBorrower, Number: 300}
	largestAmount := Message{Kind: LeaseRequest, From: goldenBorrower, To: goldenLender, Number: 1}
	largestAmount.Amount = math.MaxInt32
	negative, tooLarge := withoutAmount, largestAmount
	negative.Amount, tooLarge.Amount = -1, math.MaxInt64
	return []frameCase[Message]{
		{name: "ask", value: Message{
			Kind: LeaseRequest, From: goldenBorrower, To: goldenLender, Number: 300, Amount: 1500,
		}},
		{name: "lend", value: Message{
			Kind: LeaseGrant, From: goldenLender, To: goldenBorrower, Number: 300, Amount: 1000,
		}},
		{name: "lend nothing", value: withoutAmount},
		{name: "lend a negative amount", value: negative, read: &withoutAmount},
		{name: "back", value: Message{
			Kind: LeaseReturn, From: goldenBorrower, To: goldenLender, Number: 300, Amount: 1000,
		}},
		{name: "ask for the most", value: largestAmount},
		{name: "ask for more than the most", value: tooLarge, read: &largestAmount},
		{name: "zero runs and number", value: Message{
			Kind: LeaseRequest, From: ProcessID{Name: "n1"}, To: ProcessID{Name: "n2"}, Amount: 1,
		}},
		{name: "longest", value: Message{
			Kind: LeaseReturn, From: longProcess, To: longProcess, Number: math.MaxUint64, Amount: math.MaxInt32,
		}},
	}
}

// The encoding of quota leasing stays as it is: members of several versions lease quota from each other.
func TestGoldenLeasesWritten(t *testing.T) {
	requireGolden(t, goldenLeases, writeFrames(goldenLeaseCases(), AppendMessage))
}

// Messages that were encoded before are still decoded, also with a field that a newer version has added.
func TestGoldenLeasesRead(t *testing.T) {
	parse := func(b []byte) Message {
		require.False(t, IsSheddingMessage(b))
		message, err := ParseMessage(b)
		require.NoError(t, err)
		return message
	}
	requireRead(t, goldenLeases, goldenLeaseCases(), parse)
	request := readFrames(t, goldenLeases)["ask"]
	added := protowire.AppendString(protowire.AppendTag(request, 99, protowire.BytesType), "added")
	require.Equal(t, goldenLeaseCases()[0].value, parse(added))
}

package overload

import (
	"math"
	"strings"
	"testing"

	"falldeal/internal/fleet"
	"falldeal/lab/golden"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
)

const (
	goldenLeases     = "leases.hex"
	goldenReports    = "reports.hex"
	goldenAggregates = "sums.hex"
	goldenPartials   = "parts.hex"
	goldenDemands    = "offers.hex"
	goldenAgreement  = "agreement.txt"
)

// frameCase is a value with the name of its frame in a golden file.
type frameCase[T any] struct {
	name    string
	value   T
	decoded *T // value that the frame is decoded to; nil = the same
}

// requireEncoded requires that the values of the cases are encoded as the frames of a golden file.
func requireEncoded[T any](t *testing.T, file string, cases []frameCase[T], appendTo func(b []byte, v T) []byte) {
	t.Helper()
	var frames []golden.Frame
	for _, test := range cases {
		frames = append(frames, golden.Frame{Name: test.name, Bytes: appendTo(nil, test.value)})
	}
	golden.RequireFrames(t, file, frames)
}

// requireDecoded requires that each frame of a golden file is decoded to the value of its case.
func requireDecoded[T any](t *testing.T, file string, cases []frameCase[T], parse func(b []byte) T) {
	t.Helper()
	frames := golden.ReadFrames(t, file, len(cases))
	for _, test := range cases {
		require.Contains(t, frames, test.name)
		want := test.value
		if test.decoded != nil {
			want = *test.decoded
		}
		require.Equal(t, want, parse(frames[test.name]), test.name)
	}
}

var (
	goldenBorrower = ProcessID{Name: "n1", Run: 0x0102030405060708}
	goldenLender   = ProcessID{Name: "n2", Run: math.MaxUint64}
	longProcess    = ProcessID{Name: strings.Repeat("x", fleet.MaxText), Run: math.MaxUint64}
)

func goldenLeaseCases() []frameCase[LeaseMessage] {
	withoutAmount := LeaseMessage{Kind: LeaseGrant, From: goldenLender, To: goldenBorrower, Number: 300}
	largestAmount := LeaseMessage{Kind: LeaseRequest, From: goldenBorrower, To: goldenLender, Number: 1}
	largestAmount.Amount = math.MaxInt32
	negative, tooLarge := withoutAmount, largestAmount
	negative.Amount, tooLarge.Amount = -1, math.MaxInt64
	return []frameCase[LeaseMessage]{
		{name: "ask", value: LeaseMessage{
			Kind: LeaseRequest, From: goldenBorrower, To: goldenLender, Number: 300, Amount: 1500,
		}},
		{name: "lend", value: LeaseMessage{
			Kind: LeaseGrant, From: goldenLender, To: goldenBorrower, Number: 300, Amount: 1000,
		}},
		{name: "lend nothing", value: withoutAmount},
		{name: "lend a negative amount", value: negative, decoded: &withoutAmount},
		{name: "back", value: LeaseMessage{
			Kind: LeaseReturn, From: goldenBorrower, To: goldenLender, Number: 300, Amount: 1000,
		}},
		{name: "ask for the most", value: largestAmount},
		{name: "ask for more than the most", value: tooLarge, decoded: &largestAmount},
		{name: "zero runs and number", value: LeaseMessage{
			Kind: LeaseRequest, From: ProcessID{Name: "n1"}, To: ProcessID{Name: "n2"}, Amount: 1,
		}},
		{name: "longest", value: LeaseMessage{
			Kind: LeaseReturn, From: longProcess, To: longProcess, Number: math.MaxUint64, Amount: math.MaxInt32,
		}},
	}
}

// Members of different versions lease quota from each other. A changed encoding would break that.
func TestGoldenLeasesEncoded(t *testing.T) {
	requireEncoded(t, goldenLeases, goldenLeaseCases(), AppendLeaseMessage)
}

// Messages of other versions must be decoded, even with a field that a newer version has added.
func TestGoldenLeasesDecoded(t *testing.T) {
	parse := func(b []byte) LeaseMessage {
		require.False(t, IsSheddingMessage(b))
		message, err := ParseLeaseMessage(b)
		require.NoError(t, err)
		return message
	}
	requireDecoded(t, goldenLeases, goldenLeaseCases(), parse)
	request := golden.ReadFrames(t, goldenLeases, len(goldenLeaseCases()))["ask"]
	added := protowire.AppendString(protowire.AppendTag(request, 99, protowire.BytesType), "added")
	require.Equal(t, goldenLeaseCases()[0].value, parse(added))
}

package overload

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
)

// A message must be decoded as it was encoded. Noise, or a message without a valid kind or a name, must be an error, not a
// message that changes a ledger.
func TestLeaseMessageRoundTripAndInvalidMessages(t *testing.T) {
	message := LeaseMessage{Kind: LeaseGrant, From: ProcessID{"n1", 7}, To: ProcessID{"n2", 1 << 60}, Number: 9, Amount: 250}
	decoded, err := ParseLeaseMessage(AppendLeaseMessage(nil, message))
	require.NoError(t, err)
	require.Equal(t, message, decoded)
	for _, invalid := range [][]byte{
		nil,
		[]byte("noise"),
		make([]byte, MaxLeaseMessageSize+1),
		AppendLeaseMessage(nil, LeaseMessage{Kind: 9, From: message.From, To: message.To}),
		AppendLeaseMessage(nil, LeaseMessage{Kind: LeaseRequest, To: message.To}),
	} {
		_, err := ParseLeaseMessage(invalid)
		require.Error(t, err)
	}
}

// Every kind, including one that is out of range, must have a name.
func TestLeaseMessageKindString(t *testing.T) {
	for kind, want := range map[LeaseMessageKind]string{
		0:               "invalid",
		LeaseRequest:    "lease request",
		LeaseGrant:      "lease grant",
		LeaseReturn:     "lease return",
		LeaseReturn + 1: "invalid",
	} {
		require.Equal(t, want, kind.String())
	}
}

// A field of the wrong type must be an error, even if its bytes could be read as the right type and a valid field of the
// same number follows.
func TestParseLeaseMessageRejectsWrongTypes(t *testing.T) {
	message := LeaseMessage{Kind: LeaseGrant, From: ProcessID{"n1", 7}, To: ProcessID{"n2", 8}, Number: 9, Amount: 250}
	encoded := AppendLeaseMessage(nil, message)
	for _, field := range []protowire.Number{fieldFrom, fieldTo} {
		_, err := ParseLeaseMessage(append(appendVarint(nil, field, 0), encoded...))
		require.ErrorIs(t, err, errInvalidMessage, "field %d", field)
	}
	for _, field := range []protowire.Number{fieldKind, fieldFromRun, fieldToRun, fieldNumber, fieldAmount} {
		_, err := ParseLeaseMessage(append(appendString(nil, field, "x"), encoded...))
		require.ErrorIs(t, err, errInvalidMessage, "field %d", field)
	}
}

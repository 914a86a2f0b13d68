package overload

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
)

// A message must be decoded as it was encoded. Noise, or a message without a valid kind or a name, must be an error, not a
// message that changes a ledger.
func TestMessageRoundTripAndInvalidMessages(t *testing.T) {
	message := Message{Kind: LeaseGrant, From: ProcessID{"n1", 7}, To: ProcessID{"n2", 1 << 60}, Number: 9, Amount: 250}
	decoded, err := ParseMessage(AppendMessage(nil, message))
	require.NoError(t, err)
	require.Equal(t, message, decoded)
	for _, invalid := range [][]byte{
		nil,
		[]byte("noise"),
		make([]byte, MaxMessageSize+1),
		AppendMessage(nil, Message{Kind: 9, From: message.From, To: message.To}),
		AppendMessage(nil, Message{Kind: LeaseRequest, To: message.To}),
	} {
		_, err := ParseMessage(invalid)
		require.Error(t, err)
	}
}

// Every kind, including one that is out of range, must have a name.
func TestMessageKindString(t *testing.T) {
	for kind, want := range map[MessageKind]string{
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
func TestParseMessageRejectsWrongTypes(t *testing.T) {
	message := Message{Kind: LeaseGrant, From: ProcessID{"n1", 7}, To: ProcessID{"n2", 8}, Number: 9, Amount: 250}
	encoded := AppendMessage(nil, message)
	for _, field := range []protowire.Number{fieldFrom, fieldTo} {
		_, err := ParseMessage(append(appendVarint(nil, field, 0), encoded...))
		require.ErrorIs(t, err, errInvalidMessage, "field %d", field)
	}
	for _, field := range []protowire.Number{fieldKind, fieldFromRun, fieldToRun, fieldNumber, fieldAmount} {
		_, err := ParseMessage(append(appendString(nil, field, "x"), encoded...))
		require.ErrorIs(t, err, errInvalidMessage, "field %d", field)
	}
}

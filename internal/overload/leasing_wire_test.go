package overload

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
)

// What is encoded is decoded as it was, and what is not a message is an error.
func TestMessageRoundTrip(t *testing.T) {
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

func TestKindString(t *testing.T) {
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

// A field of the wrong type is an error, also where its bytes could be read as the right one and a right one follows.
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

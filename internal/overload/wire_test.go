package overload

import (
	"testing"

	"github.com/stretchr/testify/require"
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
	for kind, want := range map[Kind]string{
		0:               "invalid",
		LeaseRequest:    "lease request",
		LeaseGrant:      "lease grant",
		LeaseReturn:     "lease return",
		LeaseReturn + 1: "invalid",
	} {
		require.Equal(t, want, kind.String())
	}
}

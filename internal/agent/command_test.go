package agent

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCommandEncoding(t *testing.T) {
	for want, got := range map[string][]byte{
		`{"cmd":"subscribe","offset":12}`:                              encodeSubscribe(12),
		`{"cmd":"launch","req":"ab","method":"a\"b","payload":"AP8="}`: encodeLaunch("ab", `a"b`, []byte{0, 255}),
		`{"cmd":"deliver","req":"ab","payload":""}`:                    encodeReply("ab", nil),
		`{"cmd":"forgo","req":"ab","offset":3}`:                        encodeSkipCall("ab", 3),
		`{"cmd":"sample","token":"5"}`:                                 encodeSample(5),
	} {
		require.Equal(t, want+"\n", string(got))
	}
}

// Of the commands that may have been read, those that are not idempotent must be removed, so that they are not sent again. One
// that was never sent must stay.
func TestCommandLogRemovesNonIdempotentCommands(t *testing.T) {
	var log commandLog
	log.add(command{requestID: "a", line: []byte("1\n"), nonIdempotent: true, sent: true})
	log.add(command{requestID: "b", line: []byte("2\n"), sent: true})
	log.add(command{requestID: "c", line: []byte("3\n"), nonIdempotent: true})
	require.Equal(t, 2, log.countSent())
	require.Equal(t, []string{"a"}, log.removeSentNonIdempotent())
	require.Equal(t, "2\n3\n", string(log.takeLines()))
	require.Equal(t, 2, log.countSent())
}

// Commands that an answered sample acknowledges, and commands about a request for which a notification has arrived, must not
// be sent again. The others must be sent again in order.
func TestCommandLogKeepsUnacknowledgedCommands(t *testing.T) {
	var log commandLog
	require.Nil(t, log.takeLines())
	log.add(command{requestID: "a", line: []byte("1\n")})
	require.EqualValues(t, 2, log.nextSequence())
	log.add(command{requestID: "b", line: []byte("3\n"), nonIdempotent: true})
	log.add(command{requestID: "a", line: []byte("4\n")})
	require.EqualValues(t, 5, log.nextSequence())
	log.add(command{requestID: "c", line: []byte("6\n")})
	require.Equal(t, "1\n3\n4\n6\n", string(log.takeLines()))
	log.acknowledge(3)
	require.Equal(t, "3\n4\n6\n", string(log.takeLines()))
	require.True(t, log.hasNonIdempotent())
	log.removeRequest("a")
	require.Equal(t, "3\n6\n", string(log.takeLines()))
	log.acknowledge(4)
	require.Equal(t, "6\n", string(log.takeLines()))
	require.False(t, log.hasNonIdempotent())
}

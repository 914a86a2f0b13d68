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
	log.add(command{requestID: "a", line: []byte("1\n"), nonIdempotent: true})
	log.add(command{requestID: "b", line: []byte("2\n")})
	require.Equal(t, "1\n2\n", string(log.takeUnsent()))
	log.add(command{requestID: "c", line: []byte("3\n"), nonIdempotent: true})
	require.Equal(t, 2, log.countSent())
	require.Equal(t, []string{"a"}, log.removeSentNonIdempotent())
	require.Equal(t, 1, log.countSent())
	require.Equal(t, "2\n3\n", string(log.takeAll()))
	require.Equal(t, 2, log.countSent())
	require.Nil(t, log.takeUnsent())
}

// Commands that an answered sample acknowledges, and commands about a request for which a notification has arrived, must not
// be sent again. The others must be sent again in order, and a sample that was sent before that must not acknowledge them.
func TestCommandLogKeepsUnacknowledgedCommands(t *testing.T) {
	var log commandLog
	require.Nil(t, log.takeAll())
	log.add(command{requestID: "a", line: []byte("1\n")})
	log.add(command{requestID: "b", line: []byte("2\n"), nonIdempotent: true})
	require.Equal(t, "1\n2\n", string(log.takeUnsent()))
	require.EqualValues(t, 3, log.nextSequence())
	log.add(command{requestID: "a", line: []byte("4\n")})
	log.add(command{requestID: "c", line: []byte("5\n")})
	require.Equal(t, "4\n5\n", string(log.takeUnsent()))
	log.add(command{requestID: "d", line: []byte("not sent yet\n")})
	log.acknowledge(2)
	require.Equal(t, 3, log.countSent())
	log.acknowledge(5)
	require.Equal(t, 1, log.countSent())
	require.EqualValues(t, 6, log.nextSequence())
	require.Equal(t, "5\nnot sent yet\n", string(log.takeAll()))
	log.acknowledge(6)
	require.Equal(t, 2, log.countSent())
	log.removeRequest("c")
	require.Equal(t, "not sent yet\n", string(log.takeAll()))
	log.acknowledge(log.nextSequence())
	require.Nil(t, log.takeAll())
}

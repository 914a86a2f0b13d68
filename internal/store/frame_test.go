package store

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReadReply(t *testing.T) {
	const text = "ab OK 4\r\n\r\nhi\r\ncd BUSY\r\nab ERR\r\nab LATE\r\nef VOID\r\nab OK 0\r\n\r\n"
	reader := bufio.NewReader(strings.NewReader(text))
	for _, want := range []struct {
		requestID string
		result    Result
		body      string
	}{{"ab", OK, "\r\nhi"}, {"cd", Rejected, ""}, {"ab", Failed, ""}, {"ab", TimedOut, ""}, {"ef", NotStarted, ""}, {"ab", OK, ""}} {
		frame, err := readReply(reader)
		require.NoError(t, err)
		require.Equal(t, want.requestID, frame.requestID)
		require.Equal(t, want.result, frame.result)
		require.Equal(t, want.body, string(frame.body))
	}
	_, err := readReply(reader)
	require.ErrorIs(t, err, io.EOF)
}

func TestReadReplyRejectsInvalidFrames(t *testing.T) {
	for _, text := range []string{"ab OK 4\nhi", "ab\r\n", "ab OK\r\n", "ab BUSY 4\r\n", "ab WELL\r\n", "ab OK x\r\n",
		" OK 1\r\nx\r\n", "ab OK -1\r\n", "ab OK 99999999\r\n", "ab OK 2\r\nabcd", "ab OK 2\r\na", "ab BUSY 1 2\r\n",
		strings.Repeat("a", maxLine) + " BUSY\r\n", strings.Repeat("a", 8<<10)} {
		_, err := readReply(bufio.NewReaderSize(strings.NewReader(text), 1<<10))
		require.Error(t, err, "%.40q", text)
	}
}

// Results must print as names. Other packages use their numbers as array indices.
func TestResultNames(t *testing.T) {
	require.Equal(t, "OK", OK.String())
	require.Equal(t, "ConnectionRefused", ConnectionRefused.String())
	require.Equal(t, "Expired", Expired.String())
	require.Equal(t, "Result(8)", (Expired + 1).String())
}

func TestCommandEncoding(t *testing.T) {
	require.Equal(t, "CALL ab 250 3\r\na\r\n\r\n", string(appendCall(nil, "ab", 250*time.Millisecond, []byte("a\r\n"))))
	require.Equal(t, "CALL ab 1 0\r\n\r\n", string(appendCall(nil, "ab", -time.Second, nil)))
	require.Equal(t, "DROP ab\r\n", string(appendDrop(nil, "ab")))
}

// A reply that is accepted must have a request ID, a result that the store may send, and a body only with OK.
func FuzzReadReply(f *testing.F) {
	f.Add("ab OK 4\r\n\r\nhi\r\ncd BUSY\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		reader := bufio.NewReader(strings.NewReader(text))
		for {
			frame, err := readReply(reader)
			if err != nil {
				return
			}
			if frame.requestID == "" || frame.result > NotStarted || frame.result != OK && frame.body != nil {
				t.Errorf("accepted an invalid reply: %+v", frame)
			}
		}
	})
}

package store

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"
)

// Result is how a call ended.
type Result uint8

// The kinds of Result. The last three are found out by the Link and not sent by the store.
const (
	OK                Result = iota //nolint:varnamelen // the protocol's word; with a body
	Rejected                        // turned away: it never ran
	Failed                          // failed, and may have had its effect
	TimedOut                        // out of time, or its run has ended; it may have had its effect
	NotStarted                      // no run waits for it: it never ran
	ConnectionRefused               // no connection to the store: it never ran
	ConnectionBroken                // the connection broke meanwhile; it may have had its effect
	Expired                         // given up at its deadline; it may have had its effect
)

func (r Result) String() string {
	names := [...]string{"OK", "Rejected", "Failed", "TimedOut", "NotStarted", "ConnectionRefused", "ConnectionBroken", "Expired"}
	if int(r) < len(names) {
		return names[r]
	}
	return "Result(" + strconv.Itoa(int(r)) + ")"
}

// replyCodes are the words of the protocol.
var replyCodes = map[string]Result{"OK": OK, "BUSY": Rejected, "ERR": Failed, "LATE": TimedOut, "VOID": NotStarted}

const (
	maxLine = 128      // bytes, without its end
	maxBody = 64 << 10 // bytes, without its end
	newline = "\r\n"
)

// ErrMalformedReply is wrapped by the error of a connection on which the store sent what is no reply.
var ErrMalformedReply = errors.New("a line that is no reply")

// replyFrame is one reply as the store sends it.
type replyFrame struct {
	requestID string
	result    Result
	body      []byte // with OK alone
}

// appendCall appends a call that the store may take timeout for, in milliseconds and one at least.
func appendCall(b []byte, requestID string, timeout time.Duration, body []byte) []byte {
	b = append(append(append(b, "CALL "...), requestID...), ' ')
	b = strconv.AppendInt(b, max(timeout.Milliseconds(), 1), 10)
	b = strconv.AppendInt(append(b, ' '), int64(len(body)), 10)
	b = append(append(b, newline...), body...)
	return append(b, newline...)
}

// appendDrop appends the end of a call whose reply nobody waits for any more.
func appendDrop(b []byte, requestID string) []byte {
	return append(append(append(b, "DROP "...), requestID...), newline...)
}

// readReply reads one reply. Its error wraps ErrMalformedReply, or is that of reading: a line that does not fit in the
// buffer, or the end of the stream.
func readReply(reader *bufio.Reader) (replyFrame, error) {
	line, err := reader.ReadSlice('\n')
	if err != nil {
		return replyFrame{}, err
	}
	frame, bodyLength, err := parseReplyLine(line)
	if err != nil || frame.result != OK {
		return frame, err
	}
	frame.body, err = readBody(reader, bodyLength)
	if err != nil {
		return replyFrame{}, err
	}
	return frame, nil
}

// parseReplyLine parses "ID OK LENGTH" or "ID WORD", the first line of a reply.
func parseReplyLine(line []byte) (frame replyFrame, bodyLength int, err error) {
	line, terminated := bytes.CutSuffix(line, []byte(newline))
	fields := bytes.Split(line, []byte(" "))
	if !terminated || len(line) > maxLine || len(fields) < 2 || len(fields) > 3 || len(fields[0]) == 0 {
		return replyFrame{}, 0, fmt.Errorf("%w: %.80q", ErrMalformedReply, line)
	}
	result, known := replyCodes[string(fields[1])]
	hasLength := len(fields) == 3
	if !known || (result == OK) != hasLength {
		return replyFrame{}, 0, fmt.Errorf("%w: %.80q", ErrMalformedReply, line)
	}
	if hasLength {
		if bodyLength, err = parseBodyLength(fields[2]); err != nil {
			return replyFrame{}, 0, err
		}
	}
	return replyFrame{requestID: string(fields[0]), result: result}, bodyLength, nil
}

func parseBodyLength(text []byte) (int, error) {
	length, err := strconv.ParseUint(string(text), 10, 32)
	if err != nil || length > maxBody {
		return 0, fmt.Errorf("%w: length %.40q", ErrMalformedReply, text)
	}
	return int(length), nil
}

// readBody reads a body and its end.
func readBody(reader *bufio.Reader, length int) ([]byte, error) {
	body := make([]byte, length+len(newline))
	if _, err := io.ReadFull(reader, body); err != nil {
		return nil, err
	}
	if !bytes.HasSuffix(body, []byte(newline)) {
		return nil, fmt.Errorf("%w: body of %d bytes without its end", ErrMalformedReply, length)
	}
	return body[:length], nil
}

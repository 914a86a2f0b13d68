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

// replyResults are the results by their words in the protocol.
var replyResults = map[string]Result{
	"OK":   OK,
	"BUSY": Rejected,
	"ERR":  Failed,
	"LATE": TimedOut,
	"VOID": NotStarted,
}

const (
	maxLine = 128      // bytes, without its end
	maxBody = 64 << 10 // bytes, without its end
	newline = "\r\n"
)

// ErrMalformedReply is wrapped by the error of a connection on which the store sent what is no reply.
var ErrMalformedReply = errors.New("malformed reply")

// replyFrame is one reply as the store sends it.
type replyFrame struct {
	requestID string
	result    Result
	body      []byte // with OK alone
}

// appendCall appends a call that the store may take timeout for, in milliseconds and one at least.
func appendCall(b []byte, requestID string, timeout time.Duration, body []byte) []byte {
	b = append(b, "CALL "...)
	b = append(b, requestID...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, max(timeout.Milliseconds(), 1), 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, newline...)
	b = append(b, body...)
	return append(b, newline...)
}

// appendDrop appends the end of a call whose reply nobody waits for any more.
func appendDrop(b []byte, requestID string) []byte {
	b = append(b, "DROP "...)
	b = append(b, requestID...)
	return append(b, newline...)
}

// readReply reads one reply. Its error wraps ErrMalformedReply, or is that of reading: a line that does not fit in the
// buffer, or the end of the stream.
func readReply(reader *bufio.Reader) (replyFrame, error) {
	line, err := reader.ReadSlice('\n')
	if err != nil {
		return replyFrame{}, fmt.Errorf("read reply: %w", err)
	}
	header, err := parseReplyHeader(line)
	if err != nil {
		return replyFrame{}, err
	}
	frame := replyFrame{requestID: header.requestID, result: header.result}
	if header.result != OK {
		return frame, nil
	}
	frame.body, err = readBody(reader, header.bodyLength)
	if err != nil {
		return replyFrame{}, err
	}
	return frame, nil
}

// replyHeader is the first line of a reply.
type replyHeader struct {
	requestID  string
	result     Result
	bodyLength int // bytes, with OK alone
}

// parseReplyHeader parses "ID OK LENGTH" or "ID WORD".
func parseReplyHeader(line []byte) (replyHeader, error) {
	line, terminated := bytes.CutSuffix(line, []byte(newline))
	fields := bytes.Split(line, []byte(" "))
	if !terminated || len(line) > maxLine || len(fields) < 2 {
		return replyHeader{}, malformedLine(line)
	}
	result, known := replyResults[string(fields[1])]
	header := replyHeader{requestID: string(fields[0]), result: result}
	if !known || header.requestID == "" || len(fields) != header.fieldCount() {
		return replyHeader{}, malformedLine(line)
	}
	if result == OK {
		length, err := parseBodyLength(fields[2])
		if err != nil {
			return replyHeader{}, err
		}
		header.bodyLength = length
	}
	return header, nil
}

// fieldCount returns how many fields the line has.
func (h replyHeader) fieldCount() int {
	if h.result == OK {
		return 3
	}
	return 2
}

func malformedLine(line []byte) error { return fmt.Errorf("%w: %.80q", ErrMalformedReply, line) }

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
		return nil, fmt.Errorf("read body of reply: %w", err)
	}
	if !bytes.HasSuffix(body, []byte(newline)) {
		return nil, fmt.Errorf("%w: body of %d bytes without its end", ErrMalformedReply, length)
	}
	return body[:length], nil
}

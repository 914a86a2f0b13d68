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

// replyResults maps the status words on the wire to results.
var replyResults = map[string]Result{
	"OK":   OK,
	"BUSY": Rejected,
	"ERR":  Failed,
	"LATE": TimedOut,
	"VOID": NotStarted,
}

const (
	maxLine = 128      // bytes, without the line end
	maxBody = 64 << 10 // bytes, without the line end after it
	newline = "\r\n"
)

// ErrMalformedReply is wrapped by the error of a connection on which the store sent an invalid reply.
var ErrMalformedReply = errors.New("malformed reply")

// replyFrame is a reply from the store.
type replyFrame struct {
	requestID string
	result    Result
	body      []byte // only with OK
}

// appendCall appends the command to make a call. The timeout limits the time that the store may take. It is sent in whole
// milliseconds, as 1 if it is shorter than that.
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

// appendDrop appends the command to abandon a call.
func appendDrop(b []byte, requestID string) []byte {
	b = append(b, "DROP "...)
	b = append(b, requestID...)
	return append(b, newline...)
}

// readReply reads one reply. The error wraps ErrMalformedReply if the reply is invalid, and otherwise is a read error: the
// end of the stream, or a line that does not fit into the buffer.
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
	bodyLength int // bytes; only with OK
}

// parseReplyHeader parses "ID OK LENGTH" or "ID STATUS", with a status other than OK.
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

// fieldCount returns the number of fields in the line.
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
		return 0, fmt.Errorf("%w: body length %.40q, want 0 to %d", ErrMalformedReply, text, maxBody)
	}
	return int(length), nil
}

// readBody reads a body and the line end after it.
func readBody(reader *bufio.Reader, length int) ([]byte, error) {
	body := make([]byte, length+len(newline))
	if _, err := io.ReadFull(reader, body); err != nil {
		return nil, fmt.Errorf("read body of reply: %w", err)
	}
	if !bytes.HasSuffix(body, []byte(newline)) {
		return nil, fmt.Errorf("%w: no line end after a body of %d bytes", ErrMalformedReply, length)
	}
	return body[:length], nil
}

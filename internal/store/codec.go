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

// Reply tells how a call ended.
type Reply uint8

// The kinds of Reply. The last three are found here and not told by the store.
const (
	OK                Reply = iota // with a body
	Rejected                       // turned away: it never ran
	Failed                         // failed, and may have had its effect
	Late                           // out of time, or its run has ended; it may have had its effect
	Void                           // no run waits for it: it never ran
	ConnectionRefused              // no connection to the store: it never ran
	ConnectionBroken               // the connection broke meanwhile; it may have had its effect
	Expired                        // given up at its time; it may have had its effect
)

var replyWords = map[string]Reply{"OK": OK, "BUSY": Rejected, "ERR": Failed, "LATE": Late, "VOID": Void}

const (
	maxLine = 128
	maxBody = 64 << 10
)

var ErrMalformedReply = errors.New("a line that is no reply")

func appendCall(b []byte, id string, wait time.Duration, body []byte) []byte {
	b = append(append(append(b, "CALL "...), id...), ' ')
	b = strconv.AppendInt(b, max(wait.Milliseconds(), 1), 10)
	b = strconv.AppendInt(append(b, ' '), int64(len(body)), 10)
	b = append(append(b, "\r\n"...), body...)
	return append(b, "\r\n"...)
}

func appendDrop(b []byte, id string) []byte {
	return append(append(append(b, "DROP "...), id...), "\r\n"...)
}

// readReply reads one reply and what follows its line.
func readReply(in *bufio.Reader) (id string, r Reply, body []byte, err error) {
	line, err := in.ReadSlice('\n')
	if err != nil {
		return "", 0, nil, err
	}
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	parts := bytes.Split(line, []byte(" "))
	if !ok || len(line) > maxLine || len(parts) < 2 || len(parts) > 3 || len(parts[0]) == 0 {
		return "", 0, nil, fmt.Errorf("%w: %.80q", ErrMalformedReply, line)
	}
	r, ok = replyWords[string(parts[1])]
	if !ok || (r == OK) != (len(parts) == 3) {
		return "", 0, nil, fmt.Errorf("%w: %.80q", ErrMalformedReply, line)
	}
	id = string(parts[0])
	if r != OK {
		return id, r, nil, nil
	}
	n, err := strconv.ParseUint(string(parts[2]), 10, 32)
	if err != nil || n > maxBody {
		return "", 0, nil, fmt.Errorf("%w: length %.40q", ErrMalformedReply, parts[2])
	}
	body = make([]byte, n+2)
	if _, err := io.ReadFull(in, body); err != nil {
		return "", 0, nil, err
	}
	if !bytes.HasSuffix(body, []byte("\r\n")) {
		return "", 0, nil, fmt.Errorf("%w: body of %d bytes without its end", ErrMalformedReply, n)
	}
	return id, OK, body[:n], nil
}

package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"falldeal/admission"
)

// The lines around the messages of a batch.
const (
	verbBatchStart = "SYNC"
	batchEnd       = "OVER_TO_YOU"
)

const readBufferBytes = 64 << 10

// MessageKind tells what a message asks of the host.
type MessageKind uint8

// The kinds of Message.
const (
	MessageCreate MessageKind = iota // a node starts: Seed and Settings are set
	MessageRetire                    // a node has died
	MessageEvent                     // Event is set
)

// String returns the kind's name.
func (k MessageKind) String() string {
	switch k {
	case MessageCreate:
		return "create"
	case MessageRetire:
		return "retire"
	case MessageEvent:
		return "event"
	}
	return fmt.Sprintf("MessageKind(%d)", uint8(k))
}

// Message is one line of a batch.
type Message struct {
	Kind     MessageKind
	Node     int
	Line     int // in the input, from 1
	Seed     uint64
	Settings []byte // JSON, to be read by ParseSettings
	Event    admission.Event
}

// Batch is what the simulator sends at one time.
type Batch struct {
	Now      time.Duration // of the simulator's clock
	Messages []Message
}

// Reader reads batches. It is not safe for concurrent use.
type Reader struct {
	in       *bufio.Reader
	line     int         // the last one that was read, from 1
	overflow []byte      // a line that is longer than the buffer of in
	fields   fieldReader // of the last line; here as it would be allocated for each one
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, readBufferBytes)} }

// Read reads a batch into batch, whose memory it uses again. At the end of input between two batches
// it returns io.EOF; an error of the input's text is a *LineError, others are those of the underlying reader.
func (r *Reader) Read(batch *Batch) error {
	batch.Messages = batch.Messages[:0]
	if err := r.readStart(batch); err != nil {
		return err
	}
	for {
		text, err := r.nextLine()
		if errors.Is(err, io.EOF) {
			return &LineError{r.line + 1, ErrIncompleteBatch}
		}
		if err != nil {
			return err
		}
		if string(text) == batchEnd {
			return nil
		}
		if err := r.appendMessage(batch, string(text)); err != nil {
			return r.lineError(err)
		}
	}
}

// appendMessage reads the line of a message.
func (r *Reader) appendMessage(batch *Batch, text string) error {
	last := len(batch.Messages)
	batch.Messages = append(batch.Messages, Message{Line: r.line})
	r.fields = fieldReader{rest: text}
	if err := parseMessage(&r.fields, &batch.Messages[last]); err != nil {
		batch.Messages = batch.Messages[:last]
		return err
	}
	return nil
}

// readStart reads the first line of a batch.
func (r *Reader) readStart(batch *Batch) error {
	text, err := r.nextLine()
	if err != nil {
		return err
	}
	r.fields = fieldReader{rest: string(text)}
	if verb := r.fields.next(); verb != verbBatchStart {
		return r.lineError(fmt.Errorf("want %s, got %q", verbBatchStart, verb))
	}
	batch.Now = r.fields.duration("clock")
	if err := r.fields.finish(); err != nil {
		return r.lineError(fmt.Errorf("%s: %w", verbBatchStart, err))
	}
	return nil
}

// lineError returns err as that of the last line that was read.
func (r *Reader) lineError(err error) error { return &LineError{r.line, err} }

// nextLine returns the next line without its end, valid until the following call.
func (r *Reader) nextLine() ([]byte, error) {
	r.overflow = r.overflow[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		if err == nil && len(r.overflow) == 0 {
			r.line++
			return trimLineEnd(part), nil
		}
		r.overflow = append(r.overflow, part...)
		switch {
		case err == nil:
			r.line++
			return trimLineEnd(r.overflow), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(r.overflow) > 0:
			return nil, &LineError{r.line + 1, ErrTruncated}
		case errors.Is(err, io.EOF):
			return nil, io.EOF
		default:
			return nil, fmt.Errorf("read: %w", err)
		}
	}
}

// trimLineEnd cuts "\n" or "\r\n" off a line that ends with one of them.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
}

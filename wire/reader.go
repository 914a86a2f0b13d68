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

// Lines that start and end a batch.
const (
	verbBatchStart = "SYNC"
	batchEnd       = "OVER_TO_YOU"
)

const readBufferBytes = 64 << 10

// MessageKind is the kind of a Message.
type MessageKind uint8

// The kinds of Message.
const (
	MessageCreate MessageKind = iota // a node starts; Seed and Settings are set
	MessageRetire                    // a node has ended
	MessageEvent                     // something happened to a node; Event is set
)

// String returns the name of the kind.
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

// Message is one line of a batch. Apart from Kind, Node and Line, only the fields of its kind are set.
type Message struct {
	Kind     MessageKind
	Node     int    // ID of the node that the message is about
	Line     int    // number of the line in the input, from 1
	Seed     uint64 // of the node's random choices
	Settings []byte // JSON for ParseSettings
	Event    admission.Event
}

// Batch is the set of messages that the simulator sends at one time.
type Batch struct {
	Now      time.Duration // time of the simulator's clock
	Messages []Message
}

// Reader reads batches. It is not safe for concurrent use.
type Reader struct {
	in       *bufio.Reader
	line     int         // number of lines read
	overflow []byte      // a line that is longer than the buffer of in
	fields   fieldReader // of the last line; a field of Reader to avoid an allocation per line
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, readBufferBytes)} }

// Read reads the next batch into batch and reuses its memory. It returns io.EOF if the input ends between two
// batches, a *LineError for invalid input, and the error of the underlying reader otherwise.
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

// appendMessage parses the line of a message and appends the message to batch.
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

// lineError returns a LineError for the last line read.
func (r *Reader) lineError(err error) error { return &LineError{r.line, err} }

// nextLine returns the next line without its line ending. The line is valid until the next call.
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

// trimLineEnd removes the trailing "\n" or "\r\n" of line.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
}

// Package jsonlines reads the messages of a peer that sends JSON objects, one a line, and helps to write them.
package jsonlines

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"

	"github.com/valyala/fastjson"
)

// MaxLineLength bounds a line, in bytes with its end: a result of 4 KiB in base64 fits many times over.
const MaxLineLength = 32 << 10

// LineError reports a line that is not a message: no JSON, or not what the peer may send.
type LineError struct{ Err error }

func (e *LineError) Error() string { return e.Err.Error() }

// Unwrap returns what is wrong with the line.
func (e *LineError) Unwrap() error { return e.Err }

// Parser parses lines into messages of type M and reuses its memory from line to line. It belongs to one goroutine.
type Parser[M any] struct {
	json   fastjson.Parser
	decode func(*fastjson.Value) (M, error)
}

// NewParser returns a Parser of messages that decode makes from the object of a line. The message must not refer to
// the object, which is reused.
func NewParser[M any](decode func(*fastjson.Value) (M, error)) *Parser[M] {
	return &Parser[M]{decode: decode}
}

// Parse parses one line. Its error is a *LineError; the message is of no use then.
func (p *Parser[M]) Parse(line []byte) (M, error) {
	object, err := p.json.ParseBytes(line)
	if err != nil {
		var none M
		return none, &LineError{err}
	}
	message, err := p.decode(object)
	if err != nil {
		return message, &LineError{err}
	}
	return message, nil
}

// ReadEach hands each message of r to handle until reading or parsing fails, and returns that error: a *LineError for
// an invalid line, bufio.ErrBufferFull for one over MaxLineLength, and whatever r returns otherwise, io.EOF included.
func (p *Parser[M]) ReadEach(r io.Reader, handle func(M)) error {
	lines := bufio.NewReaderSize(r, MaxLineLength)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return err //nolint:wrapcheck // the caller says what was read
		}
		message, err := p.Parse(line)
		if err != nil {
			return err
		}
		handle(message)
	}
}

// Text returns a copy of the string member called name, empty where there is none.
func Text(object *fastjson.Value, name string) string { return string(object.GetStringBytes(name)) }

// Base64 returns the bytes that the string member called name encodes, none where there is no such member.
func Base64(object *fastjson.Value, name string) ([]byte, error) {
	data, err := base64.StdEncoding.AppendDecode(nil, object.GetStringBytes(name))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return data, nil
}

// AppendBase64 appends to an object that has a member before it the member called name, which needs no escape, with data
// in base64.
func AppendBase64(b []byte, name string, data []byte) []byte {
	b = append(b, `,"`...)
	b = append(b, name...)
	b = append(b, `":"`...)
	b = base64.StdEncoding.AppendEncode(b, data)
	return append(b, '"')
}

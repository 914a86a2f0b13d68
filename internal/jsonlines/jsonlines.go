// Package jsonlines reads messages from a peer that sends JSON objects, one per line, and helps to encode such messages.
package jsonlines

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"

	"github.com/valyala/fastjson"
)

// MaxLineLength limits a line, in bytes including the line end. A base64-encoded result of 4 KiB fits several times.
const MaxLineLength = 32 << 10

// LineError reports a line that is not a valid message: it is not JSON, or its content is invalid.
type LineError struct{ Err error }

func (e *LineError) Error() string { return e.Err.Error() }

// Unwrap returns the error of parsing or decoding the line.
func (e *LineError) Unwrap() error { return e.Err }

// Parser parses lines into messages of type M. It reuses its memory and must be used by one goroutine.
type Parser[M any] struct {
	json   fastjson.Parser
	decode func(*fastjson.Value) (M, error)
}

// NewParser returns a Parser that uses decode to convert the JSON object of a line into a message. The message must not
// refer to the object, because its memory is reused for the next line.
func NewParser[M any](decode func(*fastjson.Value) (M, error)) *Parser[M] {
	return &Parser[M]{decode: decode}
}

// Parse parses one line. Its error is a *LineError, and the message is then invalid.
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

// ReadEach reads messages from r and passes each to handle until reading or parsing fails. It returns a *LineError for an
// invalid line, bufio.ErrBufferFull for a line longer than MaxLineLength, and otherwise the error of r, including io.EOF.
func (p *Parser[M]) ReadEach(r io.Reader, handle func(M)) error {
	lines := bufio.NewReaderSize(r, MaxLineLength)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return err //nolint:wrapcheck // the caller adds what it was reading
		}
		message, err := p.Parse(line)
		if err != nil {
			return err
		}
		handle(message)
	}
}

// Text returns a copy of the string member called name, or "" if there is none.
func Text(object *fastjson.Value, name string) string { return string(object.GetStringBytes(name)) }

// Base64 decodes the string member called name. It returns no bytes if there is no such member.
func Base64(object *fastjson.Value, name string) ([]byte, error) {
	data, err := base64.StdEncoding.AppendDecode(nil, object.GetStringBytes(name))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return data, nil
}

// AppendBase64 appends a member with data in base64 to an object that already has at least one member. The name must not
// need escaping.
func AppendBase64(b []byte, name string, data []byte) []byte {
	b = append(b, `,"`...)
	b = append(b, name...)
	b = append(b, `":"`...)
	b = base64.StdEncoding.AppendEncode(b, data)
	return append(b, '"')
}

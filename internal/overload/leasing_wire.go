package overload

import (
	"errors"
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// MaxMessageSize is the largest size of an encoded message in bytes: two names of 64 bytes, and numbers.
const MaxMessageSize = 256

// The fields of an encoded message.
const (
	fieldKind protowire.Number = iota + 1
	fieldFrom
	fieldFromRun
	fieldTo
	fieldToRun
	fieldNumber
	fieldAmount
)

var errInvalidMessage = errors.New("invalid message of quota leasing")

// AppendMessage appends a message to b as the fields of a protobuf message. A negative amount is encoded as 0.
func AppendMessage(b []byte, message Message) []byte {
	b = appendVarint(b, fieldKind, uint64(message.Kind))
	b = appendString(b, fieldFrom, message.From.Name)
	b = appendVarint(b, fieldFromRun, message.From.Run)
	b = appendString(b, fieldTo, message.To.Name)
	b = appendVarint(b, fieldToRun, message.To.Run)
	b = appendVarint(b, fieldNumber, message.Number)
	return appendVarint(b, fieldAmount, uint64(max(message.Amount, 0)))
}

func appendVarint(b []byte, field protowire.Number, value uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), value)
}

func appendString(b []byte, field protowire.Number, value string) []byte {
	return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), value)
}

// ParseMessage decodes a message and keeps no reference to b. Fields that a newer version has added are skipped. It
// returns an error if b is too long or malformed, a field has the wrong type, or the kind or a name is missing.
func ParseMessage(b []byte) (message Message, err error) {
	if len(b) > MaxMessageSize {
		return message, errInvalidMessage
	}
	for len(b) > 0 {
		field, fieldType, tagSize := protowire.ConsumeTag(b)
		if tagSize < 0 {
			return message, errInvalidMessage
		}
		b = b[tagSize:]
		size := protowire.ConsumeFieldValue(field, fieldType, b)
		if size < 0 || !message.setField(field, fieldType, b[:size]) {
			return message, errInvalidMessage
		}
		b = b[size:]
	}
	if !message.valid() {
		return message, errInvalidMessage
	}
	return message, nil
}

// valid reports whether a message has all that it needs to be handled.
func (m *Message) valid() bool {
	return m.Kind >= LeaseRequest && m.Kind <= LeaseReturn && m.From.Name != "" && m.To.Name != ""
}

// setField sets a field to its encoded value. It reports false if the value is not of the field's type; a field that is
// not known is ignored.
func (m *Message) setField(field protowire.Number, fieldType protowire.Type, encoded []byte) bool {
	switch field {
	case fieldFrom, fieldTo:
		text, size := protowire.ConsumeString(encoded)
		if fieldType != protowire.BytesType || size < 0 {
			return false
		}
		m.setName(field, text)
	case fieldKind, fieldFromRun, fieldToRun, fieldNumber, fieldAmount:
		number, size := protowire.ConsumeVarint(encoded)
		if fieldType != protowire.VarintType || size < 0 {
			return false
		}
		m.setNumber(field, number)
	default: // of a newer version
	}
	return true
}

func (m *Message) setName(field protowire.Number, name string) {
	if field == fieldFrom {
		m.From.Name = name
	} else {
		m.To.Name = name
	}
}

// setNumber sets a field of type varint. Numbers that are out of range are set to the limit, which is no valid kind.
func (m *Message) setNumber(field protowire.Number, number uint64) {
	switch field {
	case fieldKind:
		m.Kind = MessageKind(min(number, math.MaxUint8))
	case fieldFromRun:
		m.From.Run = number
	case fieldToRun:
		m.To.Run = number
	case fieldNumber:
		m.Number = number
	case fieldAmount:
		m.Amount = Quota(min(number, math.MaxInt32))
	default: // the caller passes only those above
	}
}

package overload

import (
	"errors"
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// MaxLeaseMessageSize is the largest size of an encoded message in bytes. It has room for two names of 64 bytes and the
// numbers.
const MaxLeaseMessageSize = 256

// The field numbers of an encoded message.
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

// AppendLeaseMessage appends a message to b, encoded as a protobuf message. A negative amount is encoded as 0.
func AppendLeaseMessage(b []byte, message LeaseMessage) []byte {
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

// ParseLeaseMessage decodes a message and keeps no reference to b. It skips fields of unknown numbers, which a newer version
// may have added. It returns an error if b is longer than MaxLeaseMessageSize or malformed, a field has the wrong type, the
// kind is missing or unknown, or a name is missing.
func ParseLeaseMessage(b []byte) (message LeaseMessage, err error) {
	if len(b) > MaxLeaseMessageSize {
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

// valid reports whether the message has a known kind and both names.
func (m *LeaseMessage) valid() bool {
	return m.Kind >= LeaseRequest && m.Kind <= LeaseReturn && m.From.Name != "" && m.To.Name != ""
}

// setField sets a field to its encoded value. It returns false if the value is not of the field's type. It ignores a
// field with an unknown number.
func (m *LeaseMessage) setField(field protowire.Number, fieldType protowire.Type, encoded []byte) bool {
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
	default: // field of a newer version
	}
	return true
}

// setName sets the sender's or the recipient's name.
func (m *LeaseMessage) setName(field protowire.Number, name string) {
	if field == fieldFrom {
		m.From.Name = name
	} else {
		m.To.Name = name
	}
}

// setNumber sets a varint field. A kind above 255 becomes 255, which is not valid either. An amount above math.MaxInt32
// becomes math.MaxInt32.
func (m *LeaseMessage) setNumber(field protowire.Number, number uint64) {
	switch field {
	case fieldKind:
		m.Kind = LeaseMessageKind(min(number, math.MaxUint8))
	case fieldFromRun:
		m.From.Run = number
	case fieldToRun:
		m.To.Run = number
	case fieldNumber:
		m.Number = number
	case fieldAmount:
		m.Amount = Quota(min(number, math.MaxInt32))
	default: // setField passes only the fields above
	}
}

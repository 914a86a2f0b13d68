package overload

import (
	"errors"
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// MaxMessageSize is how long a message can be: two names of 64 bytes, and numbers.
const MaxMessageSize = 256

const (
	fieldKind protowire.Number = iota + 1
	fieldFrom
	fieldFromRun
	fieldTo
	fieldToRun
	fieldNumber
	fieldAmount
)

var errInvalidMessage = errors.New("no message of the lease exchange")

// AppendMessage appends m as the fields of a protobuf message.
func AppendMessage(b []byte, message Message) []byte {
	appendVarint := func(number protowire.Number, value uint64) {
		b = protowire.AppendVarint(protowire.AppendTag(b, number, protowire.VarintType), value)
	}
	appendString := func(number protowire.Number, value string) {
		b = protowire.AppendString(protowire.AppendTag(b, number, protowire.BytesType), value)
	}
	appendVarint(fieldKind, uint64(message.Kind))
	appendString(fieldFrom, message.From.Name)
	appendVarint(fieldFromRun, message.From.Run)
	appendString(fieldTo, message.To.Name)
	appendVarint(fieldToRun, message.To.Run)
	appendVarint(fieldNumber, message.Number)
	appendVarint(fieldAmount, uint64(max(message.Amount, 0)))
	return b
}

// ParseMessage reads a message; fields of a newer version are passed over. It keeps nothing of b.
func ParseMessage(b []byte) (message Message, err error) {
	if len(b) > MaxMessageSize {
		return message, errInvalidMessage
	}
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return message, errInvalidMessage
		}
		size := protowire.ConsumeFieldValue(num, typ, b[n:])
		if size < 0 {
			return message, errInvalidMessage
		}
		value := b[n : n+size]
		b = b[n+size:]
		switch num {
		case fieldFrom, fieldTo:
			s, k := protowire.ConsumeString(value)
			if typ != protowire.BytesType || k < 0 {
				return message, errInvalidMessage
			}
			if num == fieldFrom {
				message.From.Name = s
			} else {
				message.To.Name = s
			}
		case fieldKind, fieldFromRun, fieldToRun, fieldNumber, fieldAmount:
			v, k := protowire.ConsumeVarint(value)
			if typ != protowire.VarintType || k < 0 {
				return message, errInvalidMessage
			}
			switch num {
			case fieldKind:
				message.Kind = Kind(min(v, math.MaxUint8))
			case fieldFromRun:
				message.From.Run = v
			case fieldToRun:
				message.To.Run = v
			case fieldNumber:
				message.Number = v
			case fieldAmount:
				message.Amount = Quota(min(v, math.MaxInt32))
			}
		}
	}
	if message.Kind < LeaseRequest || message.Kind > LeaseReturn || message.From.Name == "" || message.To.Name == "" {
		return message, errInvalidMessage
	}
	return message, nil
}

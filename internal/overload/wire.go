package overload

import (
	"errors"
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// MaxMessageSize is how long a message can be: two names of 64 bytes, and numbers.
const MaxMessageSize = 256

const (
	mKind protowire.Number = iota + 1
	mFrom
	mFromRun
	mTo
	mToRun
	mNumber
	mAmount
)

var errMessage = errors.New("no message of the lease exchange")

// AppendMessage appends m as the fields of a protobuf message.
func AppendMessage(b []byte, m Message) []byte {
	whole := func(n protowire.Number, v uint64) {
		b = protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
	}
	text := func(n protowire.Number, s string) {
		b = protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), s)
	}
	whole(mKind, uint64(m.Kind))
	text(mFrom, m.From.Name)
	whole(mFromRun, m.From.Run)
	text(mTo, m.To.Name)
	whole(mToRun, m.To.Run)
	whole(mNumber, m.Number)
	whole(mAmount, uint64(max(m.Amount, 0)))
	return b
}

// ParseMessage reads a message; fields of a newer version are passed over. It keeps nothing of b.
func ParseMessage(b []byte) (m Message, err error) {
	if len(b) > MaxMessageSize {
		return m, errMessage
	}
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return m, errMessage
		}
		size := protowire.ConsumeFieldValue(num, typ, b[n:])
		if size < 0 {
			return m, errMessage
		}
		value := b[n : n+size]
		b = b[n+size:]
		switch num {
		case mFrom, mTo:
			s, k := protowire.ConsumeString(value)
			if typ != protowire.BytesType || k < 0 {
				return m, errMessage
			}
			if num == mFrom {
				m.From.Name = s
			} else {
				m.To.Name = s
			}
		case mKind, mFromRun, mToRun, mNumber, mAmount:
			v, k := protowire.ConsumeVarint(value)
			if typ != protowire.VarintType || k < 0 {
				return m, errMessage
			}
			switch num {
			case mKind:
				m.Kind = Kind(min(v, math.MaxUint8))
			case mFromRun:
				m.From.Run = v
			case mToRun:
				m.To.Run = v
			case mNumber:
				m.Number = v
			case mAmount:
				m.Amount = Quota(min(v, math.MaxInt32))
			}
		}
	}
	if m.Kind < LeaseRequest || m.Kind > LeaseReturn || m.From.Name == "" || m.To.Name == "" {
		return m, errMessage
	}
	return m, nil
}

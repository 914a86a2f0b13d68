package overload

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"falldeal/internal/fleet"
)

// The first byte of a message of load shedding. A message of quota leasing never begins with one of these, as its first
// byte is the tag of its first field.
const (
	kindReport  = 0xff
	kindPartial = 0xfe
)

const (
	fingerprintSize = 8 // bytes
	floatSize       = 4
	runSize         = 8

	maxAggregateAge = time.Hour
)

var errInvalidAggregate = errors.New("invalid zone aggregate")

// IsSheddingMessage reports whether a message between members is one of load shedding: a report of attempts, or a
// partial aggregate.
func IsSheddingMessage(b []byte) bool {
	if len(b) == 0 {
		return false
	}
	return b[0] == kindReport || b[0] == kindPartial
}

// AppendReport appends the attempts of an encoded report to b. The recipient is not part of it.
func AppendReport(b []byte, report Report) []byte {
	b = append(b, kindReport)
	for _, fingerprint := range report.Attempts {
		b = binary.BigEndian.AppendUint64(b, fingerprint)
	}
	return b
}

// ParseReport returns the attempts of a report. Ok is false if b is not a report or has too many attempts.
func ParseReport(b []byte) (attempts []uint64, ok bool) {
	if len(b) < 1 || b[0] != kindReport || len(b)%fingerprintSize != 1 || len(b) > 1+fingerprintSize*maxReportAttempts {
		return nil, false
	}
	for b = b[1:]; len(b) > 0; b = b[fingerprintSize:] {
		attempts = append(attempts, binary.BigEndian.Uint64(b))
	}
	return attempts, true
}

// AppendPartial appends an encoded partial aggregate to b. The name of the sender has at most fleet.MaxText bytes.
func AppendPartial(b []byte, partial PartialAggregate) []byte {
	b = append(b, kindPartial, byte(len(partial.From.Name)))
	b = append(b, partial.From.Name...)
	b = binary.BigEndian.AppendUint64(b, partial.From.Run)
	return AppendAggregate(b, &partial.Aggregate)
}

// ParsePartial decodes a partial aggregate. Ok is false if b is not one, or one of more than a single member.
func ParsePartial(b []byte) (partial PartialAggregate, ok bool) {
	if len(b) < 2 || b[0] != kindPartial {
		return partial, false
	}
	nameLength := int(b[1])
	b = b[2:]
	if nameLength == 0 || nameLength > fleet.MaxText || len(b) < nameLength+runSize {
		return partial, false
	}
	partial.From = ProcessID{string(b[:nameLength]), binary.BigEndian.Uint64(b[nameLength:])}
	aggregate, err := ParseAggregate(b[nameLength+runSize:])
	partial.Aggregate = aggregate
	return partial, err == nil && aggregate.Members <= 1
}

// AppendAggregate appends an encoded aggregate to b: the number of members and the age in milliseconds as varints, the
// float fields in 32 bits each, then the demand. Stale is not encoded.
func AppendAggregate(b []byte, aggregate *Aggregate) []byte {
	b = binary.AppendUvarint(b, uint64(aggregate.Members))
	b = binary.AppendUvarint(b, uint64(max(aggregate.Oldest, 0)/time.Millisecond))
	for _, field := range aggregate.floatFields() {
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(*field)))
	}
	return aggregate.Demand.Append(b)
}

// ParseAggregate decodes an aggregate. It returns an error if b is too short or too long, or a field is out of range:
// too many members, too old, negative, infinite or NaN.
func ParseAggregate(b []byte) (aggregate Aggregate, err error) {
	members, b, ok := consumeUvarint(b, maxPartials)
	if !ok {
		return aggregate, errInvalidAggregate
	}
	age, b, ok := consumeUvarint(b, uint64(maxAggregateAge/time.Millisecond))
	if !ok {
		return aggregate, errInvalidAggregate
	}
	aggregate.Members = int(members)
	aggregate.Oldest = time.Duration(age) * time.Millisecond
	for _, field := range aggregate.floatFields() {
		if *field, b, ok = consumeFloat(b); !ok {
			return aggregate, errInvalidAggregate
		}
	}
	if len(b) > 1+demandBins {
		return aggregate, errInvalidAggregate
	}
	aggregate.Demand.addEncoded(string(b), 1)
	return aggregate, nil
}

// consumeUvarint reads a varint of at most limit and returns the rest of b.
func consumeUvarint(b []byte, limit uint64) (value uint64, rest []byte, ok bool) {
	value, n := binary.Uvarint(b)
	if n <= 0 || value > limit {
		return 0, nil, false
	}
	return value, b[n:], true
}

// consumeFloat reads a 32-bit float that is finite and not negative, and returns the rest of b.
func consumeFloat(b []byte) (value float64, rest []byte, ok bool) {
	if len(b) < floatSize {
		return 0, nil, false
	}
	value = float64(math.Float32frombits(binary.BigEndian.Uint32(b)))
	if !(value >= 0 && value < math.MaxFloat32) { // also if it is NaN
		return 0, nil, false
	}
	return value, b[floatSize:], true
}

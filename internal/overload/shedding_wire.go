package overload

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"falldeal/internal/fleet"
)

// The first byte of a load shedding message. A quota leasing message never begins with one of these, as its first byte is
// the tag of its first field.
const (
	kindReport  = 0xff // report of attempts
	kindPartial = 0xfe // partial aggregate
)

const (
	// Sizes in bytes of encoded values.
	fingerprintSize = 8
	floatSize       = 4
	runSize         = 8

	maxAggregateAge = time.Hour // largest Aggregate.OldestAge that is decoded
)

var errInvalidAggregate = errors.New("invalid zone aggregate")

// IsSheddingMessage reports whether an encoded message between members is a load shedding message: a report of attempts,
// or a partial aggregate.
func IsSheddingMessage(b []byte) bool {
	if len(b) == 0 {
		return false
	}
	return b[0] == kindReport || b[0] == kindPartial
}

// AppendAttemptReport appends an encoded report to b. The recipient, AttemptReport.To, is not encoded.
func AppendAttemptReport(b []byte, report AttemptReport) []byte {
	b = append(b, kindReport)
	for _, fingerprint := range report.Attempts {
		b = binary.BigEndian.AppendUint64(b, fingerprint)
	}
	return b
}

// ParseAttemptReport returns the attempts of an encoded report. ok is false if b is not a report, or has more than
// maxReportAttempts attempts.
func ParseAttemptReport(b []byte) (attempts []uint64, ok bool) {
	if len(b) < 1 || b[0] != kindReport || len(b)%fingerprintSize != 1 || len(b) > 1+fingerprintSize*maxReportAttempts {
		return nil, false
	}
	for b = b[1:]; len(b) > 0; b = b[fingerprintSize:] {
		attempts = append(attempts, binary.BigEndian.Uint64(b))
	}
	return attempts, true
}

// AppendPartial appends an encoded partial aggregate to b. The name of the sender must have at most fleet.MaxText bytes.
func AppendPartial(b []byte, partial PartialAggregate) []byte {
	b = append(b, kindPartial, byte(len(partial.From.Name)))
	b = append(b, partial.From.Name...)
	b = binary.BigEndian.AppendUint64(b, partial.From.Run)
	return AppendAggregate(b, &partial.Aggregate)
}

// ParsePartial decodes a partial aggregate. ok is false if b is not one, or if it counts more than one member.
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

// AppendAggregate appends an encoded aggregate to b. The encoding is the number of members and the age in milliseconds as
// varints, the float fields in 32 bits each, then the demand. Stale is not encoded, and a negative age is encoded as 0.
func AppendAggregate(b []byte, aggregate *Aggregate) []byte {
	b = binary.AppendUvarint(b, uint64(aggregate.Members))
	b = binary.AppendUvarint(b, uint64(max(aggregate.OldestAge, 0)/time.Millisecond))
	for _, field := range aggregate.floatFields() {
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(float32(*field)))
	}
	return aggregate.Demand.Append(b)
}

// ParseAggregate decodes an aggregate. It returns an error if b is too short or too long, Members exceeds 4096,
// OldestAge exceeds one hour, or a float field is negative, infinite or NaN.
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
	aggregate.OldestAge = time.Duration(age) * time.Millisecond
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

// consumeUvarint reads a varint and returns it with the rest of b. ok is false if b has none, or one above limit.
func consumeUvarint(b []byte, limit uint64) (value uint64, rest []byte, ok bool) {
	value, n := binary.Uvarint(b)
	if n <= 0 || value > limit {
		return 0, nil, false
	}
	return value, b[n:], true
}

// consumeFloat reads a 32-bit float and returns it with the rest of b. ok is false if b has none, or one that is negative,
// infinite or NaN.
func consumeFloat(b []byte) (value float64, rest []byte, ok bool) {
	if len(b) < floatSize {
		return 0, nil, false
	}
	value = float64(math.Float32frombits(binary.BigEndian.Uint32(b)))
	if !(value >= 0 && value < math.MaxFloat32) { // also if value is NaN
		return 0, nil, false
	}
	return value, b[floatSize:], true
}

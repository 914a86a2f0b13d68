package fleet

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// ParseUpdate decodes an update into a record and the age of the record. It keeps no reference to b. Whatever b holds, the
// texts of the record take at most MaxRecordSize bytes. An error means that b is not a complete, valid update.
func ParseUpdate(b []byte) (record Record, age time.Duration, err error) {
	switch {
	case len(b) < updateHeaderSize || b[0] != kindUpdate:
		return record, 0, errUnknownKind
	case len(b) > updateHeaderSize+MaxRecordSize:
		return record, 0, errTooLong
	}
	age = time.Duration(binary.BigEndian.Uint32(b[1:])) * time.Millisecond
	record.Load.Utilization = -1
	var unknown []byte
	for rest := b[updateHeaderSize:]; len(rest) > 0; {
		number, wireType, tagSize := protowire.ConsumeTag(rest)
		if tagSize < 0 {
			return record, 0, fmt.Errorf("reading the tag of a field: %w", protowire.ParseError(tagSize))
		}
		valueSize := protowire.ConsumeFieldValue(number, wireType, rest[tagSize:])
		if valueSize < 0 {
			return record, 0, fmt.Errorf("reading field %d: %w", number, protowire.ParseError(valueSize))
		}
		size := tagSize + valueSize
		if number >= firstUnknownField {
			unknown = append(unknown, rest[:size]...)
		} else if err := record.decodeField(number, wireType, rest[tagSize:size]); err != nil {
			return record, 0, err
		}
		rest = rest[size:]
	}
	record.unknown = string(unknown)
	return record, age, record.validate()
}

// decodeField sets a known field. It selects the field by switches and not by a table of functions, as calls through a
// table would move every record to the heap.
func (r *Record) decodeField(number protowire.Number, wireType protowire.Type, value []byte) error {
	kind := fieldKinds[number]
	if wireType != wireTypes[kind] {
		return &fieldError{number, wireType}
	}
	switch kind {
	case textField:
		return r.decodeText(number, value)
	case opaqueField:
		return r.decodeOpaque(number, value)
	case fixed64Field:
		*r.fixed64(number), _ = protowire.ConsumeFixed64(value)
	case varintField:
		r.decodeVarint(number, value)
	case durationField:
		*r.duration(number) = decodeDuration(value)
	case thousandthsField:
		r.Load.setNumber(number, decodeThousandths(value))
	case ratioField:
		*r.Load.ratio(number) = min(decodeThousandths(value), 1)
	}
	return nil
}

// fieldError reports a field whose wire type or length is wrong.
type fieldError struct {
	number   protowire.Number
	wireType protowire.Type
}

func (e *fieldError) Error() string {
	return fmt.Sprintf("field %d: value too long or of unexpected wire type %d", e.number, e.wireType)
}

func (r *Record) decodeText(number protowire.Number, value []byte) error {
	text, _ := protowire.ConsumeBytes(value)
	if len(text) > MaxText {
		return errTooLong
	}
	*r.text(number) = string(text)
	return nil
}

func (r *Record) text(number protowire.Number) *string {
	switch number {
	case fieldName:
		return &r.Name
	case fieldAddr:
		return &r.Addr
	case fieldRegion:
		return &r.Region
	case fieldZone:
		return &r.Zone
	default: // fieldVersion
		return &r.Version
	}
}

func (r *Record) decodeOpaque(number protowire.Number, value []byte) error {
	target, maxSize := &r.Load.Demand, MaxDemand
	if number == fieldAggregate {
		target, maxSize = &r.Load.Aggregate, MaxAggregate
	}
	content, _ := protowire.ConsumeBytes(value)
	if len(content) > maxSize {
		return &fieldError{number, protowire.BytesType}
	}
	*target = string(content)
	return nil
}

func (r *Record) fixed64(number protowire.Number) *uint64 {
	switch number {
	case fieldRun:
		return &r.Run
	case fieldSupersedes:
		return &r.Supersedes
	default: // fieldConfig
		return &r.Config
	}
}

func (r *Record) decodeVarint(number protowire.Number, value []byte) {
	decoded, _ := protowire.ConsumeVarint(value)
	switch number {
	case fieldIncarnation:
		r.Incarnation = decoded
	case fieldSeq:
		r.Seq = decoded
	case fieldState:
		r.State = State(min(decoded, math.MaxUint8))
	case fieldInFlight:
		r.Load.InFlight = int(min(decoded, math.MaxInt32))
	case fieldStoreState:
		r.Load.StoreState = uint8(min(decoded, math.MaxUint8))
	case fieldStoreID:
		r.Load.StoreID = uint32(min(decoded, math.MaxUint32))
	case fieldProbeRound:
		r.Load.ProbeRound = decoded
	default: // fields of other kinds are not passed here
	}
}

func (r *Record) duration(number protowire.Number) *time.Duration {
	if number == fieldUp {
		return &r.Up
	}
	return &r.Stalled
}

func decodeDuration(value []byte) time.Duration {
	milliseconds, _ := protowire.ConsumeVarint(value)
	return time.Duration(min(milliseconds, uint64(math.MaxInt64/time.Millisecond))) * time.Millisecond
}

func decodeThousandths(value []byte) float64 {
	decoded, _ := protowire.ConsumeVarint(value)
	return float64(min(decoded, math.MaxUint32)) / 1000
}

func (l *Load) setNumber(number protowire.Number, value float64) {
	switch number {
	case fieldCapacity:
		l.Capacity = value
	case fieldUtilization:
		l.Utilization = value - 1 // see appendLoad
	case fieldCallQuota:
		l.CallQuota = value
	case fieldMeanCalls:
		l.MeanCalls = value
	case fieldServiceRate:
		l.ServiceRate = value
	case fieldAttempts:
		l.Attempts = value
	case fieldThreshold:
		l.Threshold = value
	default: // fields of other kinds are not passed here
	}
}

func (l *Load) ratio(number protowire.Number) *float64 {
	if number == fieldUnservedRatio {
		return &l.UnservedRatio
	}
	return &l.RetryRatio
}

// validate returns an error if a required field is missing, a text is not printable or the unknown fields are too long.
func (r *Record) validate() error {
	switch {
	case r.Name == "":
		return errNoName
	case r.Run == 0:
		return errNoRun
	case len(r.unknown) > MaxUnknown:
		return errTooLong
	}
	for _, text := range [...]string{r.Name, r.Addr, r.Region, r.Zone, r.Version} {
		if !printable(text) {
			return errUnprintable
		}
	}
	return nil
}

// printable reports whether text is printable ASCII without spaces.
func printable(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

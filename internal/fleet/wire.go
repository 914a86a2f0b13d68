package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// A word travels as one byte for the kind, four for its age in milliseconds at sending, and the record as the fields
// of a protobuf message. Numbers of fields are never used again for something else; fields that are not known are
// kept as they came and passed on, so that two versions live in one fleet.
const (
	kindUpdate = 1
	// KindDirect begins a message from one member to another, which is not passed on. What follows is another
	// package's.
	KindDirect       = 2
	updateHeaderSize = 5
	maxUpdateAge     = time.Duration(math.MaxUint32) * time.Millisecond
)

const (
	fieldName protowire.Number = iota + 1
	fieldRun
	fieldIncarnation
	fieldSupersedes
	fieldSeq
	fieldUp
	fieldStalled
	fieldAddr
	fieldRegion
	fieldZone
	fieldVersion
	fieldConfig
	fieldState
	fieldCapacity
	fieldBusy
	fieldInFlight
	fieldCallQuota
	fieldShedRatio
	fieldMeanCalls
	fieldServiceRate
	fieldDemand
	fieldAttempts
	fieldRetryRatio
	fieldThreshold
	fieldStoreState
	fieldStoreID
	fieldProbeRound
	fieldAggregate
	firstUnknownField
)

var (
	errUnknownKind = errors.New("not a kind of message that is known")
	errTooLong     = errors.New("longer than a word of a member can be")
)

// AppendUpdate appends the word of r, which is that old.
func AppendUpdate(b []byte, record *Record, age time.Duration) []byte {
	b = append(b, kindUpdate)
	b = binary.BigEndian.AppendUint32(b, uint32(min(max(age, 0), maxUpdateAge)/time.Millisecond))
	text := func(n protowire.Number, s string) {
		if s != "" {
			b = protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), s)
		}
	}
	varint := func(n protowire.Number, v uint64) {
		if v != 0 {
			b = protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
		}
	}
	fixed64 := func(n protowire.Number, v uint64) {
		if v != 0 {
			b = protowire.AppendFixed64(protowire.AppendTag(b, n, protowire.Fixed64Type), v)
		}
	}
	text(fieldName, record.Name)
	fixed64(fieldRun, record.Run)
	varint(fieldIncarnation, record.Incarnation)
	fixed64(fieldSupersedes, record.Supersedes)
	varint(fieldSeq, record.Seq)
	varint(fieldUp, uint64(max(record.Up, 0)/time.Millisecond))
	varint(fieldStalled, uint64(max(record.Stalled, 0)/time.Millisecond))
	text(fieldAddr, record.Addr)
	text(fieldRegion, record.Region)
	text(fieldZone, record.Zone)
	text(fieldVersion, record.Version)
	fixed64(fieldConfig, record.Config)
	varint(fieldState, uint64(record.State))
	varint(fieldCapacity, thousandths(record.Load.Capacity))
	varint(fieldBusy, thousandths(record.Load.Busy+1)) // so that unknown, -1, is 0
	varint(fieldInFlight, uint64(max(record.Load.InFlight, 0)))
	varint(fieldCallQuota, thousandths(record.Load.CallQuota))
	varint(fieldShedRatio, thousandths(record.Load.ShedRatio))
	varint(fieldMeanCalls, thousandths(record.Load.MeanCalls))
	varint(fieldServiceRate, thousandths(record.Load.ServiceRate))
	text(fieldDemand, record.Load.Demand)
	varint(fieldAttempts, thousandths(record.Load.Attempts))
	varint(fieldRetryRatio, thousandths(record.Load.RetryRatio))
	varint(fieldThreshold, thousandths(record.Load.Threshold))
	varint(fieldStoreState, uint64(record.Load.StoreState))
	varint(fieldStoreID, uint64(record.Load.StoreID))
	varint(fieldProbeRound, record.Load.ProbeRound)
	text(fieldAggregate, record.Load.Aggregate)
	return append(b, record.unknown...)
}

// thousandths of a figure that is not negative, as far as 32 bits hold them.
func thousandths(v float64) uint64 {
	if !(v > 0) {
		return 0
	}
	return uint64(min(math.Round(v*1000), math.MaxUint32))
}

// ParseUpdate reads one word. It keeps nothing of b. Whatever is not a whole word of a member is an error; nothing
// that b holds makes it use more memory than MaxRecord.
func ParseUpdate(b []byte) (record Record, age time.Duration, err error) {
	switch {
	case len(b) < updateHeaderSize || b[0] != kindUpdate:
		return record, 0, errUnknownKind
	case len(b) > updateHeaderSize+MaxRecord:
		return record, 0, errTooLong
	}
	age = time.Duration(binary.BigEndian.Uint32(b[1:])) * time.Millisecond
	record.Load.Busy = -1
	var unknown []byte
	for rest := b[updateHeaderSize:]; len(rest) > 0; {
		num, typ, tagSize := protowire.ConsumeTag(rest)
		if tagSize < 0 {
			return record, 0, protowire.ParseError(tagSize)
		}
		valueSize := protowire.ConsumeFieldValue(num, typ, rest[tagSize:])
		if valueSize < 0 {
			return record, 0, protowire.ParseError(valueSize)
		}
		if num >= firstUnknownField {
			unknown = append(unknown, rest[:tagSize+valueSize]...)
		} else if err := record.field(num, typ, rest[tagSize:tagSize+valueSize]); err != nil {
			return record, 0, err
		}
		rest = rest[tagSize+valueSize:]
	}
	record.unknown = string(unknown)
	return record, age, record.check()
}

func (r *Record) field(num protowire.Number, typ protowire.Type, value []byte) error {
	wrong := func() error { return fmt.Errorf("field %d: type %d", num, typ) }
	switch num {
	case fieldName, fieldAddr, fieldRegion, fieldZone, fieldVersion:
		if typ != protowire.BytesType {
			return wrong()
		}
		s, _ := protowire.ConsumeBytes(value)
		if len(s) > MaxText {
			return errTooLong
		}
		*r.text(num) = string(s)
		return nil
	case fieldDemand, fieldAggregate:
		s, _ := protowire.ConsumeBytes(value)
		if typ != protowire.BytesType || len(s) > MaxAggregate || num == fieldDemand && len(s) > MaxDemand {
			return wrong()
		}
		if num == fieldDemand {
			r.Load.Demand = string(s)
		} else {
			r.Load.Aggregate = string(s)
		}
		return nil
	case fieldRun, fieldSupersedes, fieldConfig:
		if typ != protowire.Fixed64Type {
			return wrong()
		}
		v, _ := protowire.ConsumeFixed64(value)
		*r.fixed(num) = v
		return nil
	}
	if typ != protowire.VarintType {
		return wrong()
	}
	v, _ := protowire.ConsumeVarint(value)
	ms := func() time.Duration {
		return time.Duration(min(v, uint64(math.MaxInt64/time.Millisecond))) * time.Millisecond
	}
	part := func() float64 { return float64(min(v, math.MaxUint32)) / 1000 }
	switch num {
	case fieldIncarnation:
		r.Incarnation = v
	case fieldSeq:
		r.Seq = v
	case fieldUp:
		r.Up = ms()
	case fieldStalled:
		r.Stalled = ms()
	case fieldState:
		r.State = State(min(v, math.MaxUint8))
	case fieldCapacity:
		r.Load.Capacity = part()
	case fieldBusy:
		r.Load.Busy = part() - 1
	case fieldInFlight:
		r.Load.InFlight = int(min(v, math.MaxInt32))
	case fieldCallQuota:
		r.Load.CallQuota = part()
	case fieldShedRatio:
		r.Load.ShedRatio = min(part(), 1)
	case fieldMeanCalls:
		r.Load.MeanCalls = part()
	case fieldServiceRate:
		r.Load.ServiceRate = part()
	case fieldAttempts:
		r.Load.Attempts = part()
	case fieldRetryRatio:
		r.Load.RetryRatio = min(part(), 1)
	case fieldThreshold:
		r.Load.Threshold = part()
	case fieldStoreState:
		r.Load.StoreState = uint8(min(v, math.MaxUint8))
	case fieldStoreID:
		r.Load.StoreID = uint32(min(v, math.MaxUint32))
	case fieldProbeRound:
		r.Load.ProbeRound = v
	}
	return nil
}

func (r *Record) text(num protowire.Number) *string {
	switch num {
	case fieldName:
		return &r.Name
	case fieldAddr:
		return &r.Addr
	case fieldRegion:
		return &r.Region
	case fieldZone:
		return &r.Zone
	}
	return &r.Version
}

func (r *Record) fixed(num protowire.Number) *uint64 {
	switch num {
	case fieldRun:
		return &r.Run
	case fieldSupersedes:
		return &r.Supersedes
	}
	return &r.Config
}

// check reports what no process of ours can have told.
func (r *Record) check() error {
	switch {
	case r.Name == "":
		return errors.New("field 1: a word without a name")
	case r.Run == 0:
		return errors.New("field 2: a word without a process")
	case len(r.unknown) > MaxUnknown:
		return errTooLong
	}
	for _, s := range []string{r.Name, r.Addr, r.Region, r.Zone, r.Version} {
		for _, c := range []byte(s) {
			if c <= ' ' || c > '~' {
				return errors.New("a text that is not printable")
			}
		}
	}
	return nil
}

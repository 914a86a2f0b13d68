package fleet

import (
	"errors"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// An update is the encoded form of a record:
//
//   - 1 byte: the kind of message, kindUpdate;
//   - 4 bytes, big endian: the age of the record when it is sent, in milliseconds;
//   - the fields of the record in the protobuf wire format.
//
// The number of a removed field is never reused. Fields with unknown numbers are kept and passed on unchanged, so that
// members of different versions can share a fleet.
const (
	kindUpdate = 1
	// KindDirect is the first byte of a message to a single member, which is not passed on. Other packages define the
	// rest of the message.
	KindDirect = 2

	updateHeaderSize = 5 // bytes
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
	fieldUtilization
	fieldInFlight
	fieldCallQuota
	fieldUnservedRatio
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

// fieldKind is the encoding of a field's value.
type fieldKind uint8

const (
	textField        fieldKind = iota + 1 // printable ASCII of up to MaxText bytes
	opaqueField                           // bytes that another package defines
	fixed64Field                          // an integer that would not be shorter as a varint
	varintField                           // an integer
	durationField                         // a varint: milliseconds
	thousandthsField                      // a varint: thousandths of a number that is not negative
	ratioField                            // as thousandthsField, from 0 to 1
)

var fieldKindNames = [...]string{
	textField: "text", opaqueField: "opaque", fixed64Field: "fixed64", varintField: "varint",
	durationField: "duration", thousandthsField: "thousandths", ratioField: "ratio",
}

func (k fieldKind) String() string { return fieldKindNames[k] }

// wireTypes holds the protobuf wire type of each kind.
var wireTypes = [...]protowire.Type{
	textField:        protowire.BytesType,
	opaqueField:      protowire.BytesType,
	fixed64Field:     protowire.Fixed64Type,
	varintField:      protowire.VarintType,
	durationField:    protowire.VarintType,
	thousandthsField: protowire.VarintType,
	ratioField:       protowire.VarintType,
}

// fieldKinds holds the kind of each known field.
var fieldKinds = [firstUnknownField]fieldKind{
	fieldName:          textField,
	fieldRun:           fixed64Field,
	fieldIncarnation:   varintField,
	fieldSupersedes:    fixed64Field,
	fieldSeq:           varintField,
	fieldUp:            durationField,
	fieldStalled:       durationField,
	fieldAddr:          textField,
	fieldRegion:        textField,
	fieldZone:          textField,
	fieldVersion:       textField,
	fieldConfig:        fixed64Field,
	fieldState:         varintField,
	fieldCapacity:      thousandthsField,
	fieldUtilization:   thousandthsField,
	fieldInFlight:      varintField,
	fieldCallQuota:     thousandthsField,
	fieldUnservedRatio: ratioField,
	fieldMeanCalls:     thousandthsField,
	fieldServiceRate:   thousandthsField,
	fieldDemand:        opaqueField,
	fieldAttempts:      thousandthsField,
	fieldRetryRatio:    ratioField,
	fieldThreshold:     thousandthsField,
	fieldStoreState:    varintField,
	fieldStoreID:       varintField,
	fieldProbeRound:    varintField,
	fieldAggregate:     opaqueField,
}

var (
	errUnknownKind = errors.New("not an update: too short or of another kind of message")
	errTooLong     = errors.New("update or field exceeds its maximum size")
	errNoName      = errors.New("field 1: name missing")
	errNoRun       = errors.New("field 2: run missing")
	errUnprintable = errors.New("text field contains a space or a character other than printable ASCII")
)

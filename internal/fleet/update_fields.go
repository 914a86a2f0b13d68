package fleet

import (
	"errors"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// An update is how a record travels: one byte for the kind of message, four for the age of the record in milliseconds
// when it is sent, and the record as the fields of a protobuf message. The number of a field is never used again for
// another one. Fields of a newer version are kept and passed on unchanged, so that two versions can share a fleet.
const (
	kindUpdate = 1
	// KindDirect is the first byte of a message from one member to another, which is not passed on. The rest is
	// defined by other packages.
	KindDirect = 2

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

// fieldKind is how the value of a field is encoded.
type fieldKind uint8

const (
	textField        fieldKind = iota + 1 // printable text of up to MaxText bytes
	opaqueField                           // bytes of another package
	fixed64Field                          // a whole number that a varint would not shorten
	varintField                           // a whole number
	durationField                         // a varint of milliseconds
	thousandthsField                      // a varint of thousandths of a figure that is not negative
	ratioField                            // thousandths from 0 to 1
)

var fieldKindNames = [...]string{
	textField: "text", opaqueField: "opaque", fixed64Field: "fixed64", varintField: "varint",
	durationField: "duration", thousandthsField: "thousandths", ratioField: "ratio",
}

func (k fieldKind) String() string { return fieldKindNames[k] }

// wireTypes has the encoding of each kind.
var wireTypes = [...]protowire.Type{
	textField:        protowire.BytesType,
	opaqueField:      protowire.BytesType,
	fixed64Field:     protowire.Fixed64Type,
	varintField:      protowire.VarintType,
	durationField:    protowire.VarintType,
	thousandthsField: protowire.VarintType,
	ratioField:       protowire.VarintType,
}

// fieldKinds has the kind of each known field.
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
	fieldBusy:          thousandthsField,
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
	errUnknownKind = errors.New("unknown kind of message")
	errTooLong     = errors.New("update too long")
	errNoName      = errors.New("field 1: name missing")
	errNoRun       = errors.New("field 2: process missing")
	errUnprintable = errors.New("text not printable")
)

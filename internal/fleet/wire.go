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
	kindWord = 1
	// KindDirect begins a message from one member to another, which is not passed on. What follows is another
	// package's.
	KindDirect = 2
	headWord   = 5
	mostAge    = time.Duration(math.MaxUint32) * time.Millisecond
)

const (
	fName protowire.Number = iota + 1
	fRun
	fIncarnation
	fOver
	fSeq
	fUp
	fStalled
	fAddr
	fRegion
	fZone
	fVersion
	fConfig
	fState
	fCapacity
	fBusy
	fInHand
	fShare
	fShed
	fCalls
	fPace
	fOffer
	fTries
	fAgain
	fCut
	fStore
	fStoreID
	fRound
	fSum
	fieldsKnown
)

var (
	errKind = errors.New("not a kind of message that is known")
	errLong = errors.New("longer than a word of a member can be")
)

// AppendUpdate appends the word of r, which is that old.
func AppendUpdate(b []byte, r *Record, age time.Duration) []byte {
	b = append(b, kindWord)
	b = binary.BigEndian.AppendUint32(b, uint32(min(max(age, 0), mostAge)/time.Millisecond))
	text := func(n protowire.Number, s string) {
		if s != "" {
			b = protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), s)
		}
	}
	whole := func(n protowire.Number, v uint64) {
		if v != 0 {
			b = protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
		}
	}
	fixed := func(n protowire.Number, v uint64) {
		if v != 0 {
			b = protowire.AppendFixed64(protowire.AppendTag(b, n, protowire.Fixed64Type), v)
		}
	}
	text(fName, r.Name)
	fixed(fRun, r.Run)
	whole(fIncarnation, r.Incarnation)
	fixed(fOver, r.Supersedes)
	whole(fSeq, r.Seq)
	whole(fUp, uint64(max(r.Up, 0)/time.Millisecond))
	whole(fStalled, uint64(max(r.Stalled, 0)/time.Millisecond))
	text(fAddr, r.Addr)
	text(fRegion, r.Region)
	text(fZone, r.Zone)
	text(fVersion, r.Version)
	fixed(fConfig, r.Config)
	whole(fState, uint64(r.State))
	whole(fCapacity, thousandths(r.Load.Capacity))
	whole(fBusy, thousandths(r.Load.Busy+1)) // so that unknown, -1, is 0
	whole(fInHand, uint64(max(r.Load.InFlight, 0)))
	whole(fShare, thousandths(r.Load.CallQuota))
	whole(fShed, thousandths(r.Load.ShedRatio))
	whole(fCalls, thousandths(r.Load.MeanCalls))
	whole(fPace, thousandths(r.Load.ServiceRate))
	text(fOffer, r.Load.Demand)
	whole(fTries, thousandths(r.Load.Attempts))
	whole(fAgain, thousandths(r.Load.RetryRatio))
	whole(fCut, thousandths(r.Load.Threshold))
	whole(fStore, uint64(r.Load.StoreState))
	whole(fStoreID, uint64(r.Load.StoreID))
	whole(fRound, r.Load.ProbeRound)
	text(fSum, r.Load.Aggregate)
	return append(b, r.unknown...)
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
func ParseUpdate(b []byte) (r Record, age time.Duration, err error) {
	switch {
	case len(b) < headWord || b[0] != kindWord:
		return r, 0, errKind
	case len(b) > headWord+MaxRecord:
		return r, 0, errLong
	}
	age = time.Duration(binary.BigEndian.Uint32(b[1:])) * time.Millisecond
	r.Load.Busy = -1
	var unknown []byte
	for rest := b[headWord:]; len(rest) > 0; {
		num, typ, n := protowire.ConsumeTag(rest)
		if n < 0 {
			return r, 0, protowire.ParseError(n)
		}
		m := protowire.ConsumeFieldValue(num, typ, rest[n:])
		if m < 0 {
			return r, 0, protowire.ParseError(m)
		}
		if num >= fieldsKnown {
			unknown = append(unknown, rest[:n+m]...)
		} else if err := r.field(num, typ, rest[n:n+m]); err != nil {
			return r, 0, err
		}
		rest = rest[n+m:]
	}
	r.unknown = string(unknown)
	return r, age, r.check()
}

func (r *Record) field(num protowire.Number, typ protowire.Type, value []byte) error {
	wrong := func() error { return fmt.Errorf("field %d: type %d", num, typ) }
	switch num {
	case fName, fAddr, fRegion, fZone, fVersion:
		if typ != protowire.BytesType {
			return wrong()
		}
		s, _ := protowire.ConsumeBytes(value)
		if len(s) > MaxText {
			return errLong
		}
		*r.text(num) = string(s)
		return nil
	case fOffer, fSum:
		s, _ := protowire.ConsumeBytes(value)
		if typ != protowire.BytesType || len(s) > MaxAggregate || num == fOffer && len(s) > MaxDemand {
			return wrong()
		}
		if num == fOffer {
			r.Load.Demand = string(s)
		} else {
			r.Load.Aggregate = string(s)
		}
		return nil
	case fRun, fOver, fConfig:
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
	case fIncarnation:
		r.Incarnation = v
	case fSeq:
		r.Seq = v
	case fUp:
		r.Up = ms()
	case fStalled:
		r.Stalled = ms()
	case fState:
		r.State = State(min(v, math.MaxUint8))
	case fCapacity:
		r.Load.Capacity = part()
	case fBusy:
		r.Load.Busy = part() - 1
	case fInHand:
		r.Load.InFlight = int(min(v, math.MaxInt32))
	case fShare:
		r.Load.CallQuota = part()
	case fShed:
		r.Load.ShedRatio = min(part(), 1)
	case fCalls:
		r.Load.MeanCalls = part()
	case fPace:
		r.Load.ServiceRate = part()
	case fTries:
		r.Load.Attempts = part()
	case fAgain:
		r.Load.RetryRatio = min(part(), 1)
	case fCut:
		r.Load.Threshold = part()
	case fStore:
		r.Load.StoreState = uint8(min(v, math.MaxUint8))
	case fStoreID:
		r.Load.StoreID = uint32(min(v, math.MaxUint32))
	case fRound:
		r.Load.ProbeRound = v
	}
	return nil
}

func (r *Record) text(num protowire.Number) *string {
	switch num {
	case fName:
		return &r.Name
	case fAddr:
		return &r.Addr
	case fRegion:
		return &r.Region
	case fZone:
		return &r.Zone
	}
	return &r.Version
}

func (r *Record) fixed(num protowire.Number) *uint64 {
	switch num {
	case fRun:
		return &r.Run
	case fOver:
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
		return errLong
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

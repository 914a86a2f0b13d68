package fleet

import (
	"math"
	"strings"
	"testing"
	"time"

	"falldeal/lab/golden"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
)

const goldenUpdates = "words.hex"

// updateCase is a record that is sent, and the one that is received.
type updateCase struct {
	name   string
	record Record
	age    time.Duration
	read   func(r *Record) // changes record into the one that is received; nil: both are equal
}

// minimalRecord returns the smallest valid record after change was applied to it.
func minimalRecord(change func(r *Record)) Record {
	r := Record{Name: "n1", Run: 7, Load: Load{Utilization: -1}}
	change(&r)
	return r
}

func goldenLoad() Load {
	return Load{
		Capacity: 7.5, Utilization: 0.625, InFlight: 17, CallQuota: 3.25, UnservedRatio: 0.125, MeanCalls: 2.5,
		ServiceRate: 6.75, Demand: "\x0a\x3c\x00\x46", Attempts: 40.5, RetryRatio: 0.2, Threshold: 23.5,
		StoreState: 2, StoreID: 0x89abcdef, ProbeRound: 77, Aggregate: "\x01\x02\xff",
	}
}

func goldenRecord() Record {
	return Record{
		Name: "n1", Run: 0x0102030405060708, Incarnation: 1796147027278, Supersedes: 0x1112131415161718, Seq: 300,
		Up: 90*time.Second + 5*time.Millisecond, Stalled: 4 * time.Second,
		Addr: "10.0.0.1:7946", Region: "eu", Zone: "eu-a", Version: "1.2.3",
		Config: 0x2122232425262728, State: Serving, Load: goldenLoad(),
	}
}

// fieldAdded is an encoded field that a newer version might add.
var fieldAdded = string(protowire.AppendString(protowire.AppendTag(nil, 99, protowire.BytesType), "added"))

// goldenUpdateCases returns records with each field by itself, with all fields, and with values at or beyond the bounds.
// The golden file contains the names of the cases.
func goldenUpdateCases() []updateCase {
	field := func(name string, change func(r *Record)) updateCase {
		return updateCase{name: name, record: minimalRecord(change)}
	}
	cases := []updateCase{
		{name: "all fields", record: goldenRecord(), age: 1500 * time.Millisecond},
		field("least", func(*Record) {}),
		field("incarnation", func(r *Record) { r.Incarnation = 1796147027278 }),
		field("over", func(r *Record) { r.Supersedes = 0x1112131415161718 }),
		field("seq", func(r *Record) { r.Seq = 300 }),
		field("up", func(r *Record) { r.Up = 90*time.Second + 5*time.Millisecond }),
		field("stalled", func(r *Record) { r.Stalled = 4 * time.Second }),
		field("addr", func(r *Record) { r.Addr = "10.0.0.1:7946" }),
		field("region", func(r *Record) { r.Region = "eu" }),
		field("zone", func(r *Record) { r.Zone = "eu-a" }),
		field("version", func(r *Record) { r.Version = "1.2.3" }),
		field("config", func(r *Record) { r.Config = 0x2122232425262728 }),
		field("state starting", func(r *Record) { r.State = Starting }),
		field("state warming", func(r *Record) { r.State = Warming }),
		field("state serving", func(r *Record) { r.State = Serving }),
		field("state draining", func(r *Record) { r.State = Draining }),
		field("state gone", func(r *Record) { r.State = Stopped }),
		field("state of a newer version", func(r *Record) { r.State = 200 }),
		field("load capacity", func(r *Record) { r.Load.Capacity = 7.5 }),
		field("load busy none", func(r *Record) { r.Load.Utilization = 0 }),
		field("load busy", func(r *Record) { r.Load.Utilization = 0.625 }),
		field("load in hand", func(r *Record) { r.Load.InFlight = 17 }),
		field("load share", func(r *Record) { r.Load.CallQuota = 3.25 }),
		field("load shed", func(r *Record) { r.Load.UnservedRatio = 0.125 }),
		field("load calls", func(r *Record) { r.Load.MeanCalls = 2.5 }),
		field("load pace", func(r *Record) { r.Load.ServiceRate = 6.75 }),
		field("load offer", func(r *Record) { r.Load.Demand = "\x0a\x3c\x00\x46" }),
		field("load tries", func(r *Record) { r.Load.Attempts = 40.5 }),
		field("load again", func(r *Record) { r.Load.RetryRatio = 0.2 }),
		field("load cut", func(r *Record) { r.Load.Threshold = 23.5 }),
		field("load store", func(r *Record) { r.Load.StoreState = 2 }),
		field("load store id", func(r *Record) { r.Load.StoreID = 0x89abcdef }),
		field("load round", func(r *Record) { r.Load.ProbeRound = 77 }),
		field("load sum", func(r *Record) { r.Load.Aggregate = "\x01\x02\xff" }),
		field("field of a newer version", func(r *Record) { r.unknown = fieldAdded }),
	}
	return append(cases, goldenBoundCases()...)
}

// goldenBoundCases returns records with values that the encoding limits or rounds, and one with the longest texts.
func goldenBoundCases() []updateCase {
	return []updateCase{
		{name: "greatest age", record: minimalRecord(func(*Record) {}), age: math.MaxInt64},
		{name: "negative times and counts", record: minimalRecord(func(r *Record) {
			r.Up, r.Stalled, r.Load.InFlight, r.Load.Capacity = -1, -1, -1, -1
		}), read: func(r *Record) { *r = minimalRecord(func(*Record) {}) }},
		{name: "less than a thousandth", record: minimalRecord(func(r *Record) {
			r.Up, r.Load.Capacity, r.Load.ServiceRate = 1999*time.Microsecond, 0.0004, 0.0006
		}), read: func(r *Record) { r.Up, r.Load.Capacity, r.Load.ServiceRate = time.Millisecond, 0, 0.001 }},
		{name: "more than 32 bits of thousandths", record: minimalRecord(func(r *Record) {
			r.Load.Capacity, r.Load.Threshold = 1e12, math.Inf(1)
		}), read: func(r *Record) { r.Load.Capacity, r.Load.Threshold = 4294967.295, 4294967.295 }},
		{name: "parts above one", record: minimalRecord(func(r *Record) {
			r.Load.UnservedRatio, r.Load.RetryRatio = 1.5, 2
		}), read: func(r *Record) { r.Load.UnservedRatio, r.Load.RetryRatio = 1, 1 }},
		{name: "longest texts", record: minimalRecord(func(r *Record) {
			long := strings.Repeat("x", MaxText)
			r.Name, r.Addr, r.Region, r.Zone, r.Version = long, long, long, long, long
			r.Load.Demand, r.Load.Aggregate = strings.Repeat("\xff", MaxDemand), strings.Repeat("\xff", MaxAggregate)
		})},
	}
}

// Members of different versions share a fleet, so that the encoding of each field must not change.
func TestGoldenUpdatesWritten(t *testing.T) {
	var frames []golden.Frame
	for _, testCase := range goldenUpdateCases() {
		update := AppendUpdate(nil, &testCase.record, testCase.age)
		frames = append(frames, golden.Frame{Name: testCase.name, Bytes: update})
	}
	golden.RequireFrames(t, goldenUpdates, frames)
}

// Updates that earlier versions wrote must still be parsed, each into the same record and age.
func TestGoldenUpdatesRead(t *testing.T) {
	cases := goldenUpdateCases()
	frames := golden.ReadFrames(t, goldenUpdates, len(cases))
	for _, testCase := range cases {
		require.Contains(t, frames, testCase.name)
		got, age, err := ParseUpdate(frames[testCase.name])
		require.NoError(t, err, testCase.name)
		want := testCase.record
		if testCase.read != nil {
			testCase.read(&want)
		}
		require.Equal(t, want, got, testCase.name)
		require.Equal(t, min(testCase.age, maxUpdateAge), age, testCase.name)
	}
}

// The first byte of a message is its kind. Members of other versions read it, so that the values must not change.
func TestGoldenKinds(t *testing.T) {
	require.Equal(t, 1, kindUpdate)
	require.Equal(t, 2, KindDirect)
}

package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"
)

func drawRecord(t *rapid.T) Record {
	text := rapid.StringMatching(`[!-~]{0,64}`)
	opaque := func(maxSize int) *rapid.Generator[[]byte] { return rapid.SliceOfN(rapid.Byte(), 0, maxSize) }
	return Record{
		Name:        rapid.StringMatching(`n[0-3]`).Draw(t, "name"),
		Run:         rapid.Uint64Range(1, 3).Draw(t, "run"),
		Incarnation: rapid.Uint64Range(0, 3).Draw(t, "incarnation"),
		Supersedes:  rapid.Uint64().Draw(t, "supersedes"),
		Seq:         rapid.Uint64Range(1, 5).Draw(t, "seq"),
		Up:          time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "up")) * time.Millisecond,
		Addr:        text.Draw(t, "addr"),
		Zone:        text.Draw(t, "zone"),
		Version:     text.Draw(t, "version"),
		Config:      rapid.Uint64().Draw(t, "config"),
		State:       State(rapid.IntRange(0, 9).Draw(t, "state")),
		Load: Load{
			Capacity: 5.5, Utilization: -1, InFlight: rapid.IntRange(0, 1e6).Draw(t, "in flight"), UnservedRatio: 0.25,
			Demand: string(opaque(MaxDemand).Draw(t, "demand")), Threshold: 23.5,
			StoreState: 2, StoreID: 1 << 31, ProbeRound: 77,
			Aggregate: string(opaque(MaxAggregate).Draw(t, "aggregate")),
		},
	}
}

// A member passes on records of newer versions. It must keep the fields that it does not know, and encode all others as
// they were.
func TestUpdatesPreserveUnknownFields(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := drawRecord(t)
		encoded := AppendUpdate(nil, &record, 1500*time.Millisecond)
		encoded = protowire.AppendTag(encoded, 99, protowire.BytesType)
		encoded = protowire.AppendString(encoded, "of a newer version")
		got, age, err := ParseUpdate(encoded)
		require.NoError(t, err)
		require.Equal(t, 1500*time.Millisecond, age)
		require.Equal(t, encoded, AppendUpdate(nil, &got, age))
		got.unknown = ""
		require.Equal(t, record, got)
	})
}

// Random bytes, truncated updates and updates beyond their bounds must not crash the parser. What it accepts must be the
// same after it was encoded and parsed again.
func FuzzParseUpdate(f *testing.F) {
	record := Record{Name: "n1", Run: 7, Seq: 1, State: Serving}
	good := AppendUpdate(nil, &record, time.Second)
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add(append(good, make([]byte, MaxRecordSize)...))
	f.Add(protowire.AppendBytes(protowire.AppendTag(good, 99, protowire.BytesType), make([]byte, MaxUnknown)))
	f.Fuzz(func(t *testing.T, b []byte) {
		parsed, age, err := ParseUpdate(b)
		if err != nil {
			return
		}
		again, _, err := ParseUpdate(AppendUpdate(nil, &parsed, age))
		require.NoError(t, err)
		require.Equal(t, parsed, again)
	})
}

// An update that is incomplete, exceeds a bound or holds a text that is not printable must be rejected: it would be passed
// on to all members and appear in their logs.
func TestMalformedUpdatesAreRejected(t *testing.T) {
	encode := func(record Record) []byte { return AppendUpdate(nil, &record, time.Second) }
	good := encode(Record{Name: "n1", Run: 7, Seq: 1, State: Serving})
	tooMuchUnknown := protowire.AppendTag(append([]byte{}, good...), 99, protowire.BytesType)
	tooMuchUnknown = protowire.AppendBytes(tooMuchUnknown, make([]byte, MaxUnknown))
	for name, b := range map[string][]byte{
		"empty":                      nil,
		"truncated":                  good[:len(good)-1],
		"of another kind":            append([]byte{9}, good[1:]...),
		"too long":                   append(good, make([]byte, MaxRecordSize)...),
		"too much unknown":           tooMuchUnknown,
		"name of control characters": encode(Record{Name: "a\nb", Run: 7}),
		"no name":                    encode(Record{Run: 7}),
		"name too long":              encode(Record{Name: string(make([]byte, MaxText+1)), Run: 7}),
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := ParseUpdate(b)
			require.Error(t, err)
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	_, records := newTestFleet(1)
	b.ReportAllocs()
	for range b.N {
		if _, _, err := ParseUpdate(AppendUpdate(nil, &records[0], time.Second)); err != nil {
			b.Fatal(err)
		}
	}
}

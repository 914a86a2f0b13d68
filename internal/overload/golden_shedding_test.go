package overload

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// goldenReportCases returns the fingerprints of reports. The recipient of a report is not part of the frame.
func goldenReportCases() []frameCase[[]uint64] {
	full := make([]uint64, maxReportAttempts)
	for i := range full {
		full[i] = uint64(i) << 56
	}
	return []frameCase[[]uint64]{
		{name: "no try", value: nil},
		{name: "one try", value: []uint64{0x0102030405060708}},
		{name: "two tries of one request and one of another", value: []uint64{math.MaxUint64, math.MaxUint64, 1}},
		{name: "most tries", value: full},
	}
}

// The member that counts the attempts may run another version. A changed encoding would lose them.
func TestGoldenReportsEncoded(t *testing.T) {
	requireEncoded(t, goldenReports, goldenReportCases(), func(b []byte, attempts []uint64) []byte {
		return AppendAttemptReport(b, AttemptReport{To: goldenLender, Attempts: attempts})
	})
}

// Reports of other versions must be decoded, and must not be mistaken for partial aggregates.
func TestGoldenReportsDecoded(t *testing.T) {
	requireDecoded(t, goldenReports, goldenReportCases(), func(b []byte) []uint64 {
		require.True(t, IsSheddingMessage(b))
		_, isPartial := ParsePartial(b)
		require.False(t, isPartial)
		attempts, ok := ParseAttemptReport(b)
		require.True(t, ok)
		return attempts
	})
}

// demandOf returns the demand that is encoded by these steps, beginning with bin first.
func demandOf(first int, steps ...byte) (demand Demand) {
	for i, step := range steps {
		demand[first+i] = demandSteps[step]
	}
	return demand
}

func goldenDemandCases() []frameCase[Demand] {
	var tooSmall, tooLarge, all Demand
	tooSmall[3] = minPublishedDemand / 2
	tooLarge[3] = 1e12
	largest := demandOf(3, math.MaxUint8)
	none := Demand{}
	for i := range all {
		all[i] = demandSteps[i+1]
	}
	return []frameCase[Demand]{
		{name: "none", value: Demand{}},
		{name: "first bin", value: demandOf(0, 1)},
		{name: "last bin", value: demandOf(demandBins-1, 60)},
		{name: "two bins and an empty one between", value: demandOf(10, 60, 0, 70)},
		{name: "all bins", value: all},
		{name: "too little to be told", value: tooSmall, decoded: &none},
		{name: "more than can be told", value: tooLarge, decoded: &largest},
	}
}

// Demand is part of the loads and zone aggregates that members of other versions read. A changed encoding would give them
// another threshold.
func TestGoldenDemandsEncoded(t *testing.T) {
	requireEncoded(t, goldenDemands, goldenDemandCases(), func(b []byte, demand Demand) []byte {
		return demand.Append(b)
	})
}

// Demand published by other versions must be decoded.
func TestGoldenDemandsDecoded(t *testing.T) {
	requireDecoded(t, goldenDemands, goldenDemandCases(), func(b []byte) (demand Demand) {
		demand.addEncoded(string(b), 1)
		return demand
	})
}

func goldenAggregateCases() []frameCase[Aggregate] {
	one := func(change func(aggregate *Aggregate)) Aggregate {
		aggregate := Aggregate{Members: 1}
		change(&aggregate)
		return aggregate
	}
	fraction := one(func(aggregate *Aggregate) { aggregate.OldestAge, aggregate.ServiceRate = 1999*time.Microsecond, 0.1 })
	fractionDecoded := one(func(aggregate *Aggregate) {
		aggregate.OldestAge, aggregate.ServiceRate = time.Millisecond, float64(float32(0.1))
	})
	stale := one(func(aggregate *Aggregate) { aggregate.Stale, aggregate.OldestAge = 9, -1 })
	staleDecoded := one(func(*Aggregate) {})
	return []frameCase[Aggregate]{
		{name: "empty", value: Aggregate{}},
		{name: "members", value: Aggregate{Members: 300}},
		{name: "oldest", value: one(func(aggregate *Aggregate) { aggregate.OldestAge = 1500 * time.Millisecond })},
		{name: "pace", value: one(func(aggregate *Aggregate) { aggregate.ServiceRate = 6.75 })},
		{name: "cores", value: one(func(aggregate *Aggregate) { aggregate.Cores = 7.5 })},
		{name: "in use", value: one(func(aggregate *Aggregate) { aggregate.CoresInUse = 4.25 })},
		{name: "tries", value: one(func(aggregate *Aggregate) { aggregate.Attempts = 40.5 })},
		{name: "again", value: one(func(aggregate *Aggregate) { aggregate.Retries = 8.125 })},
		{name: "offers", value: one(func(aggregate *Aggregate) { aggregate.Demand = demandOf(10, 60, 0, 70) })},
		{name: "all figures", value: Aggregate{
			Members: maxPartials, OldestAge: time.Hour, Demand: demandOf(0, 1, 2, 3), ServiceRate: 1024,
			Cores: 2048, CoresInUse: 512, Attempts: 4096.5, Retries: 256.25,
		}},
		{name: "fraction of a millisecond and of a float", value: fraction, decoded: &fractionDecoded},
		{name: "stale members and a negative age are not told", value: stale, decoded: &staleDecoded},
	}
}

// Zone aggregates spread through a fleet of several versions. A changed encoding would make their zones stale.
func TestGoldenAggregatesEncoded(t *testing.T) {
	requireEncoded(t, goldenAggregates, goldenAggregateCases(), func(b []byte, aggregate Aggregate) []byte {
		return AppendAggregate(b, &aggregate)
	})
}

// Aggregates published by other versions must be decoded.
func TestGoldenAggregatesDecoded(t *testing.T) {
	requireDecoded(t, goldenAggregates, goldenAggregateCases(), func(b []byte) Aggregate {
		aggregate, err := ParseAggregate(b)
		require.NoError(t, err)
		return aggregate
	})
}

func goldenPartialCases() []frameCase[PartialAggregate] {
	return []frameCase[PartialAggregate]{
		{name: "nothing told", value: PartialAggregate{From: ProcessID{Name: "n1"}}},
		{name: "all figures", value: PartialAggregate{From: goldenBorrower, Aggregate: Aggregate{
			Members: 1, OldestAge: 20 * time.Millisecond, Demand: demandOf(10, 60, 0, 70), ServiceRate: 6.75,
			Cores: 7.5, CoresInUse: 4.25, Attempts: 40.5, Retries: 8.125,
		}}},
		{name: "longest name", value: PartialAggregate{From: longProcess, Aggregate: Aggregate{Members: 1}}},
	}
}

// The collector may run another version. A changed encoding would leave the sender out of its zone's aggregate.
func TestGoldenPartialsEncoded(t *testing.T) {
	requireEncoded(t, goldenPartials, goldenPartialCases(), AppendPartial)
}

// Partial aggregates of other versions must be decoded, and must not be mistaken for reports.
func TestGoldenPartialsDecoded(t *testing.T) {
	requireDecoded(t, goldenPartials, goldenPartialCases(), func(b []byte) PartialAggregate {
		require.True(t, IsSheddingMessage(b))
		_, isReport := ParseAttemptReport(b)
		require.False(t, isReport)
		partial, ok := ParsePartial(b)
		require.True(t, ok)
		return partial
	})
}

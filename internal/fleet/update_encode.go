package fleet

import (
	"encoding/binary"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// AppendUpdate appends the encoded update of a record that has the given age.
func AppendUpdate(b []byte, record *Record, age time.Duration) []byte {
	b = append(b, kindUpdate)
	b = binary.BigEndian.AppendUint32(b, uint32(min(max(age, 0), maxUpdateAge)/time.Millisecond))
	b = appendText(b, fieldName, record.Name)
	b = appendFixed64(b, fieldRun, record.Run)
	b = appendVarint(b, fieldIncarnation, record.Incarnation)
	b = appendFixed64(b, fieldSupersedes, record.Supersedes)
	b = appendVarint(b, fieldSeq, record.Seq)
	b = appendDuration(b, fieldUp, record.Up)
	b = appendDuration(b, fieldStalled, record.Stalled)
	b = appendText(b, fieldAddr, record.Addr)
	b = appendText(b, fieldRegion, record.Region)
	b = appendText(b, fieldZone, record.Zone)
	b = appendText(b, fieldVersion, record.Version)
	b = appendFixed64(b, fieldConfig, record.Config)
	b = appendVarint(b, fieldState, uint64(record.State))
	b = appendLoad(b, &record.Load)
	return append(b, record.unknown...)
}

func appendLoad(b []byte, load *Load) []byte {
	b = appendThousandths(b, fieldCapacity, load.Capacity)
	b = appendThousandths(b, fieldUtilization, load.Utilization+1) // so that -1, unknown, is encoded as 0
	b = appendVarint(b, fieldInFlight, uint64(max(load.InFlight, 0)))
	b = appendThousandths(b, fieldCallQuota, load.CallQuota)
	b = appendThousandths(b, fieldUnservedRatio, load.UnservedRatio)
	b = appendThousandths(b, fieldMeanCalls, load.MeanCalls)
	b = appendThousandths(b, fieldServiceRate, load.ServiceRate)
	b = appendText(b, fieldDemand, load.Demand)
	b = appendThousandths(b, fieldAttempts, load.Attempts)
	b = appendThousandths(b, fieldRetryRatio, load.RetryRatio)
	b = appendThousandths(b, fieldThreshold, load.Threshold)
	b = appendVarint(b, fieldStoreState, uint64(load.StoreState))
	b = appendVarint(b, fieldStoreID, uint64(load.StoreID))
	b = appendVarint(b, fieldProbeRound, load.ProbeRound)
	return appendText(b, fieldAggregate, load.Aggregate)
}

// Fields whose value is empty or zero are not sent, and most fields of most records are empty or zero. The functions that
// check for this are therefore kept small enough to be inlined, and call others for the encoding.

func appendText(b []byte, number protowire.Number, text string) []byte {
	if text == "" {
		return b
	}
	return encodeText(b, number, text)
}

func appendFixed64(b []byte, number protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	return encodeFixed64(b, number, value)
}

func appendVarint(b []byte, number protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	return encodeVarint(b, number, value)
}

func appendDuration(b []byte, number protowire.Number, value time.Duration) []byte {
	return appendVarint(b, number, uint64(max(value, 0)/time.Millisecond))
}

func appendThousandths(b []byte, number protowire.Number, value float64) []byte {
	if value == 0 {
		return b
	}
	return encodeThousandths(b, number, value)
}

func encodeText(b []byte, number protowire.Number, text string) []byte {
	b = protowire.AppendTag(b, number, protowire.BytesType)
	return protowire.AppendString(b, text)
}

func encodeFixed64(b []byte, number protowire.Number, value uint64) []byte {
	b = protowire.AppendTag(b, number, protowire.Fixed64Type)
	return protowire.AppendFixed64(b, value)
}

func encodeVarint(b []byte, number protowire.Number, value uint64) []byte {
	b = protowire.AppendTag(b, number, protowire.VarintType)
	return protowire.AppendVarint(b, value)
}

func encodeThousandths(b []byte, number protowire.Number, value float64) []byte {
	return appendVarint(b, number, thousandths(value))
}

// thousandths returns a number in thousandths, limited to the range of 32 unsigned bits. NaN gives 0.
func thousandths(value float64) uint64 {
	if !(value > 0) {
		return 0
	}
	return uint64(min(math.Round(value*1000), math.MaxUint32))
}

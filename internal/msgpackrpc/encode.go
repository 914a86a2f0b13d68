package msgpackrpc

import (
	"encoding/binary"
	"math"
)

// Each append function appends one MessagePack value to b and returns the extended slice. appendArray and appendMap append
// only the header of an array or map, which may have up to 15 elements or pairs.

func appendArray(b []byte, elements int) []byte { return append(b, formatFixarray|byte(elements)) }
func appendMap(b []byte, pairs int) []byte      { return append(b, formatFixmap|byte(pairs)) }
func appendNil(b []byte) []byte                 { return append(b, formatNil) }

func appendBool(b []byte, value bool) []byte {
	if value {
		return append(b, formatTrue)
	}
	return append(b, formatFalse)
}

func appendUint(b []byte, value uint32) []byte {
	switch {
	case value <= formatMaxPositiveFixint:
		return append(b, byte(value))
	case value <= math.MaxUint8:
		return append(b, formatUint8, byte(value))
	case value <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, formatUint16), uint16(value))
	}
	return binary.BigEndian.AppendUint32(append(b, formatUint32), value)
}

// appendString appends text, truncated to math.MaxUint16 bytes. No text that is sent comes close to this limit.
func appendString(b []byte, text string) []byte {
	text = text[:min(len(text), math.MaxUint16)]
	switch length := len(text); {
	case length <= maxFixstrLength:
		b = append(b, formatFixstr|byte(length))
	case length <= math.MaxUint8:
		b = append(b, formatStr8, byte(length))
	default:
		b = binary.BigEndian.AppendUint16(append(b, formatStr16), uint16(length))
	}
	return append(b, text...)
}

func appendBinary(b, data []byte) []byte {
	switch length := len(data); {
	case length <= math.MaxUint8:
		b = append(b, formatBin8, byte(length))
	case length <= math.MaxUint16:
		b = binary.BigEndian.AppendUint16(append(b, formatBin16), uint16(length))
	default:
		b = binary.BigEndian.AppendUint32(append(b, formatBin32), uint32(length))
	}
	return append(b, data...)
}

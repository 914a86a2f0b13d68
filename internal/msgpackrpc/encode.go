package msgpackrpc

import (
	"encoding/binary"
	"math"
)

// Each append function appends one MessagePack value to b, or the header of an array or map of up to 15 elements or
// pairs, and returns the longer slice.

func appendArray(b []byte, elements int) []byte { return append(b, 0x90|byte(elements)) }
func appendMap(b []byte, pairs int) []byte      { return append(b, 0x80|byte(pairs)) }
func appendNil(b []byte) []byte                 { return append(b, 0xc0) }

func appendBool(b []byte, value bool) []byte {
	if value {
		return append(b, 0xc3)
	}
	return append(b, 0xc2)
}

func appendUint(b []byte, value uint32) []byte {
	switch {
	case value <= 0x7f:
		return append(b, byte(value))
	case value <= math.MaxUint8:
		return append(b, 0xcc, byte(value))
	case value <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, 0xcd), uint16(value))
	}
	return binary.BigEndian.AppendUint32(append(b, 0xce), value)
}

// appendString truncates a text to math.MaxUint16 bytes; nothing that is sent comes near that.
func appendString(b []byte, text string) []byte {
	text = text[:min(len(text), math.MaxUint16)]
	switch n := len(text); {
	case n <= 31:
		b = append(b, 0xa0|byte(n))
	case n <= math.MaxUint8:
		b = append(b, 0xd9, byte(n))
	default:
		b = binary.BigEndian.AppendUint16(append(b, 0xda), uint16(n))
	}
	return append(b, text...)
}

func appendBinary(b, data []byte) []byte {
	switch n := len(data); {
	case n <= math.MaxUint8:
		b = append(b, 0xc4, byte(n))
	case n <= math.MaxUint16:
		b = binary.BigEndian.AppendUint16(append(b, 0xc5), uint16(n))
	default:
		b = binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(n))
	}
	return append(b, data...)
}

package msgpackrpc

import (
	"encoding/binary"
	"math"
)

// Values are written by appending to a slice.

func appendArray(b []byte, n int) []byte { return append(b, 0x90|byte(n)) }
func appendMap(b []byte, n int) []byte   { return append(b, 0x80|byte(n)) }
func appendNil(b []byte) []byte          { return append(b, 0xc0) }

func appendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 0xc3)
	}
	return append(b, 0xc2)
}

func appendUint(b []byte, v uint32) []byte {
	switch {
	case v <= 0x7f:
		return append(b, byte(v))
	case v <= math.MaxUint8:
		return append(b, 0xcc, byte(v))
	case v <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, 0xcd), uint16(v))
	}
	return binary.BigEndian.AppendUint32(append(b, 0xce), v)
}

// appendText cuts what is longer than a text of 16 bits can be; nothing sent here comes near that.
func appendText(b []byte, s string) []byte {
	s = s[:min(len(s), math.MaxUint16)]
	switch n := len(s); {
	case n <= 31:
		b = append(b, 0xa0|byte(n))
	case n <= math.MaxUint8:
		b = append(b, 0xd9, byte(n))
	default:
		b = binary.BigEndian.AppendUint16(append(b, 0xda), uint16(n))
	}
	return append(b, s...)
}

func appendBinary(b, v []byte) []byte {
	switch n := len(v); {
	case n <= math.MaxUint8:
		b = append(b, 0xc4, byte(n))
	case n <= math.MaxUint16:
		b = binary.BigEndian.AppendUint16(append(b, 0xc5), uint16(n))
	default:
		b = binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(n))
	}
	return append(b, v...)
}

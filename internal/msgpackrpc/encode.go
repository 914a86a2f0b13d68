package msgpackrpc

import (
	"encoding/binary"
	"math"
)

// Values are written by appending to a slice.

func appendArray(b []byte, n int) []byte { return append(b, 0x90|byte(n)) }
func appendMap(b []byte, n int) []byte   { return append(b, 0x80|byte(n)) }
func appendNil(b []byte) []byte          { return append(b, 0xc0) }

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

// appendString cuts what is longer than a text of 16 bits can be; nothing sent here comes near that.
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

package msgpackrpc

import (
	"encoding/binary"
	"math"
)

// valueKind is the type of a MessagePack value.
type valueKind uint8

const (
	valueNil valueKind = iota
	valueBool
	valueInt       // of 64 bits with a sign
	valueLargeUint // an integer above math.MaxInt64
	valueFloat
	valueString
	valueBinary
	valueArray
	valueMap
	valueExtension
)

// valueHeader is the first part of a value: its type and its length.
type valueHeader struct {
	kind   valueKind
	size   int   // bytes of the header
	length int   // valueArray: elements; valueMap: pairs; else the bytes that follow the header
	value  int64 // valueInt; valueBool: 1 for true
}

// elements returns how many values an array or map holds directly.
func (h valueHeader) elements() int {
	switch h.kind {
	case valueArray:
		return h.length
	case valueMap:
		return 2 * h.length
	default: // holds no values
		return 0
	}
}

// payloadSize returns how many bytes after the header belong to the value, without the elements of an array or map.
func (h valueHeader) payloadSize() int {
	if h.kind == valueArray || h.kind == valueMap {
		return 0
	}
	return h.length
}

// parseHeader reads the header of the value at the start of b; ok is false while b does not hold all of it. The cases
// are those of the MessagePack specification: the tag holds the value, its length, or the width of either.
func parseHeader(b []byte) (header valueHeader, ok bool, err error) {
	if len(b) == 0 {
		return header, false, nil
	}
	header.size = 1
	switch tag := b[0]; {
	case tag <= 0x7f:
		header.kind, header.value = valueInt, int64(tag)
	case tag <= 0x8f:
		header.kind, header.length = valueMap, int(tag&0x0f)
	case tag <= 0x9f:
		header.kind, header.length = valueArray, int(tag&0x0f)
	case tag <= 0xbf:
		header.kind, header.length = valueString, int(tag&0x1f)
	case tag >= 0xe0:
		header.kind, header.value = valueInt, int64(int8(tag))
	case tag == 0xc0:
		header.kind = valueNil
	case tag == 0xc2, tag == 0xc3:
		header.kind, header.value = valueBool, int64(tag-0xc2)
	case tag >= 0xca && tag <= 0xd3:
		return parseNumberHeader(b)
	case tag >= 0xd4 && tag <= 0xd8:
		header.kind, header.length = valueExtension, 1+1<<(tag-0xd4) // a byte of type, and the data
	default:
		return parseSizedHeader(b)
	}
	return header, true, nil
}

// The tags of numbers that follow their tag. In each group the width doubles from tag to tag.
const (
	tagFloat32 = 0xca
	tagUint8   = 0xcc
	tagInt8    = 0xd0
)

// parseNumberHeader reads a number that follows its tag.
func parseNumberHeader(b []byte) (header valueHeader, ok bool, err error) {
	tag := b[0]
	size := 1 << ((tag - tagUint8) & 3) // four widths without a sign, then the same with one
	if tag < tagUint8 {
		size = 4 << (tag - tagFloat32)
	}
	if header.size = 1 + size; len(b) < header.size {
		return header, false, nil
	}
	value := bigEndianUint(b[1:], size)
	switch {
	case tag < tagUint8:
		header.kind = valueFloat
	case tag >= tagInt8:
		shift := 64 - 8*size
		header.kind, header.value = valueInt, int64(value<<shift)>>shift
	case value > math.MaxInt64:
		header.kind = valueLargeUint
	default:
		header.kind, header.value = valueInt, int64(value)
	}
	return header, true, nil
}

// sizedTags are the ranges of tags that are followed by a length, whose width doubles from tag to tag.
var sizedTags = [...]struct {
	first, last byte
	width       int // bytes of the length after the first tag
	kind        valueKind
}{
	{0xc4, 0xc6, 1, valueBinary},
	{0xc7, 0xc9, 1, valueExtension},
	{0xd9, 0xdb, 1, valueString},
	{0xdc, 0xdd, 2, valueArray},
	{0xde, 0xdf, 2, valueMap},
}

// parseSizedHeader reads the header of a value whose length follows its tag.
func parseSizedHeader(b []byte) (header valueHeader, ok bool, err error) {
	for _, tags := range sizedTags {
		if b[0] < tags.first || b[0] > tags.last {
			continue
		}
		size := tags.width << (b[0] - tags.first)
		if header.kind, header.size = tags.kind, 1+size; len(b) < header.size {
			return header, false, nil
		}
		length := bigEndianUint(b[1:], size)
		if length > maxFrame {
			return header, false, &FrameError{errFrameTooLong}
		}
		if header.length = int(length); tags.kind == valueExtension {
			header.length++ // the byte of its type
		}
		return header, true, nil
	}
	return header, false, frameErrorf("byte %#x %w", b[0], errInvalidTag)
}

// bigEndianUint reads an unsigned integer of 1, 2, 4 or 8 bytes.
func bigEndianUint(b []byte, size int) uint64 {
	switch size {
	case 1:
		return uint64(b[0])
	case 2:
		return uint64(binary.BigEndian.Uint16(b))
	case 4:
		return uint64(binary.BigEndian.Uint32(b))
	default: // 8
		return binary.BigEndian.Uint64(b)
	}
}

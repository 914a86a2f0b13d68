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
	valueInt       // fits into a signed 64-bit integer
	valueLargeUint // an integer above math.MaxInt64
	valueFloat
	valueString
	valueBinary
	valueArray
	valueMap
	valueExtension
)

// valueHeader is the decoded header of a value: its type, and its length or value.
type valueHeader struct {
	kind   valueKind
	size   int   // bytes of the header
	length int   // elements of an array, pairs of a map, else bytes that follow the header
	value  int64 // of a valueInt; for a valueBool, 1 means true
}

// elements returns the number of values directly inside an array or map. A pair of a map counts as two.
func (h valueHeader) elements() int {
	switch h.kind {
	case valueArray:
		return h.length
	case valueMap:
		return 2 * h.length
	default: // not a container
		return 0
	}
}

// payloadSize returns the number of bytes after the header that belong to the value, excluding the elements of an array
// or map.
func (h valueHeader) payloadSize() int {
	if h.kind == valueArray || h.kind == valueMap {
		return 0
	}
	return h.length
}

// parseHeader parses the header at the start of b. It returns ok = false if b does not hold the complete header yet. Its
// errors are frameErrors.
func parseHeader(b []byte) (header valueHeader, ok bool, err error) {
	if len(b) == 0 {
		return header, false, nil
	}
	format := b[0]
	switch {
	case format <= formatMaxFixstr:
		return parseFixHeader(format), true, nil
	case format >= formatNegativeFixint:
		return valueHeader{kind: valueInt, size: 1, value: int64(int8(format))}, true, nil
	case format >= formatFloat32 && format <= formatInt64:
		header, ok = parseNumberHeader(b)
		return header, ok, nil
	case format >= formatFixext1 && format <= formatFixext16:
		return parseFixextHeader(format), true, nil
	case format <= formatTrue:
		return parseConstantHeader(format)
	}
	return parseSizedHeader(b)
}

// parseFixHeader parses a format up to formatMaxFixstr, which encodes the value or its length itself.
func parseFixHeader(format byte) valueHeader {
	switch {
	case format <= formatMaxPositiveFixint:
		return valueHeader{kind: valueInt, size: 1, value: int64(format)}
	case format <= formatMaxFixmap:
		return valueHeader{kind: valueMap, size: 1, length: int(format & fixLengthMask)}
	case format <= formatMaxFixarray:
		return valueHeader{kind: valueArray, size: 1, length: int(format & fixLengthMask)}
	}
	return valueHeader{kind: valueString, size: 1, length: int(format & fixstrMask)}
}

// parseFixextHeader parses the format of an extension of 1, 2, 4, 8 or 16 bytes.
func parseFixextHeader(format byte) valueHeader {
	const typeSize = 1
	dataSize := 1 << (format - formatFixext1)
	return valueHeader{kind: valueExtension, size: 1, length: typeSize + dataSize}
}

// parseConstantHeader parses nil, false or true.
func parseConstantHeader(format byte) (header valueHeader, ok bool, err error) {
	switch format {
	case formatNil:
		return valueHeader{kind: valueNil, size: 1}, true, nil
	case formatFalse:
		return valueHeader{kind: valueBool, size: 1}, true, nil
	case formatTrue:
		return valueHeader{kind: valueBool, size: 1, value: 1}, true, nil
	}
	return header, false, invalidFormat(format)
}

func invalidFormat(format byte) error { return frameErrorf("%w %#x", errInvalidFormat, format) }

// parseNumberHeader parses a number that follows its format byte. The formats come in three groups: floats, unsigned
// integers and signed integers. Within a group the width doubles from one format to the next.
func parseNumberHeader(b []byte) (header valueHeader, ok bool) {
	const integerWidths = 4
	format := b[0]
	width := 1 << ((format - formatUint8) % integerWidths)
	if format < formatUint8 {
		width = 4 << (format - formatFloat32)
	}
	header.size = 1 + width
	if len(b) < header.size {
		return header, false
	}
	value := bigEndianUint(b[1:], width)
	switch {
	case format < formatUint8:
		header.kind = valueFloat
	case format >= formatInt8:
		header.kind = valueInt
		header.value = signExtend(value, width)
	case value > math.MaxInt64:
		header.kind = valueLargeUint
	default:
		header.kind = valueInt
		header.value = int64(value)
	}
	return header, true
}

// signExtend interprets the low width bytes of value as a signed integer.
func signExtend(value uint64, width int) int64 {
	unused := 64 - 8*width
	return int64(value<<unused) >> unused
}

// sizedFormats are the ranges of formats that are followed by a length. Within a range the width of the length doubles
// from one format to the next.
var sizedFormats = [...]struct {
	first, last byte
	width       int // bytes of the length after the first format of the range
	kind        valueKind
}{
	{formatBin8, formatBin32, 1, valueBinary},
	{formatExt8, formatExt32, 1, valueExtension},
	{formatStr8, formatStr32, 1, valueString},
	{formatArray16, formatArray32, 2, valueArray},
	{formatMap16, formatMap32, 2, valueMap},
}

// parseSizedHeader parses the header of a value whose length follows its format byte. Its errors are frameErrors.
func parseSizedHeader(b []byte) (header valueHeader, ok bool, err error) {
	for _, formats := range sizedFormats {
		if b[0] < formats.first || b[0] > formats.last {
			continue
		}
		width := formats.width << (b[0] - formats.first)
		header.kind = formats.kind
		header.size = 1 + width
		if len(b) < header.size {
			return header, false, nil
		}
		length := bigEndianUint(b[1:], width)
		if length > maxFrame {
			return header, false, &frameError{errFrameTooLong}
		}
		header.length = int(length)
		if formats.kind == valueExtension {
			header.length++ // the type byte of the extension
		}
		return header, true, nil
	}
	return header, false, invalidFormat(b[0])
}

// bigEndianUint reads an unsigned integer of width 1, 2, 4 or 8 bytes.
func bigEndianUint(b []byte, width int) uint64 {
	switch width {
	case 1:
		return uint64(b[0])
	case 2:
		return uint64(binary.BigEndian.Uint16(b))
	case 4:
		return uint64(binary.BigEndian.Uint32(b))
	default: // 8 bytes
		return binary.BigEndian.Uint64(b)
	}
}

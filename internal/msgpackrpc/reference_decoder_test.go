package msgpackrpc

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"math"
)

// The reference decoder builds each value as a tree. Tests and benchmarks compare the in-place parser with it, and the test
// clients read responses with it.

// The types of decoded values, in addition to nil, bool, int64, uint64, float64 and string.
type (
	binaryValue []byte
	arrayValue  []any
	mapValue    []pair
	pair        struct{ key, value any }
	extValue    struct{}
)

// decoder reads values from a stream. A frame may have up to maxFrame bytes and maxValues values.
type decoder struct {
	source     *bufio.Reader
	bytesLeft  int // bytes that the current frame may still have
	valuesLeft int // values that the current frame may still have
}

// next reads one complete value. After an error the stream cannot be read any further.
func (d *decoder) next() (any, error) {
	d.bytesLeft, d.valuesLeft = maxFrame, maxValues
	return d.value(0)
}

func (d *decoder) take(n int) ([]byte, error) {
	if n > d.bytesLeft {
		return nil, errFrameTooLong
	}
	d.bytesLeft -= n
	b := make([]byte, n)
	for read := 0; read < n; {
		count, err := d.source.Read(b[read:])
		if err != nil {
			return nil, err
		}
		read += count
	}
	return b, nil
}

// uint reads a big-endian unsigned integer of 1, 2, 4 or 8 bytes.
func (d *decoder) uint(size int) (uint64, error) {
	b, err := d.take(size)
	if err != nil {
		return 0, err
	}
	var wide [8]byte
	copy(wide[8-size:], b)
	return binary.BigEndian.Uint64(wide[:]), nil
}

func (d *decoder) value(depth int) (any, error) {
	if depth > maxDepth {
		return nil, errFrameTooDeep
	}
	if d.valuesLeft--; d.valuesLeft < 0 {
		return nil, errTooManyValues
	}
	tag, err := d.uint(1)
	if err != nil {
		return nil, err
	}
	switch {
	case tag <= 0x7f:
		return int64(tag), nil
	case tag <= 0x8f:
		return d.mapping(int(tag&0x0f), depth)
	case tag <= 0x9f:
		return d.array(int(tag&0x0f), depth)
	case tag <= 0xbf:
		return d.string(int(tag & 0x1f))
	case tag >= 0xe0:
		return int64(int8(tag)), nil
	}
	switch tag {
	case 0xc0:
		return nil, nil
	case 0xc2, 0xc3:
		return tag == 0xc3, nil
	case 0xca:
		value, err := d.uint(4)
		return float64(math.Float32frombits(uint32(value))), err
	case 0xcb:
		value, err := d.uint(8)
		return math.Float64frombits(value), err
	case 0xcc, 0xcd, 0xce, 0xcf:
		value, err := d.uint(1 << (tag - 0xcc))
		if value > math.MaxInt64 {
			return value, err
		}
		return int64(value), err
	case 0xd0, 0xd1, 0xd2, 0xd3:
		size := 1 << (tag - 0xd0)
		value, err := d.uint(size)
		shift := 64 - 8*size
		return int64(value<<shift) >> shift, err
	case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8:
		_, err := d.take(1 + 1<<(tag-0xd4))
		return extValue{}, err
	}
	return d.sized(tag, depth)
}

// firstTags maps a tag that is followed by a length to the tag from which the width of the length is computed: the width is
// 1 byte there and doubles with each further tag. The lengths of arrays and maps have 2 or 4 bytes, so their entry is the
// tag before the first one.
var firstTags = [256]uint64{0xc4: 0xc4, 0xc5: 0xc4, 0xc6: 0xc4, 0xc7: 0xc7, 0xc8: 0xc7, 0xc9: 0xc7,
	0xd9: 0xd9, 0xda: 0xd9, 0xdb: 0xd9, 0xdc: 0xdb, 0xdd: 0xdb, 0xde: 0xdd, 0xdf: 0xdd}

// sized reads a value whose tag is followed by its length.
func (d *decoder) sized(tag uint64, depth int) (any, error) {
	first := firstTags[tag]
	if first == 0 {
		return nil, fmt.Errorf("invalid format byte %#x", tag)
	}
	length, err := d.uint(1 << (tag - first))
	if err != nil {
		return nil, err
	}
	if length > maxFrame {
		return nil, errFrameTooLong
	}
	n := int(length)
	switch first {
	case 0xc4:
		b, err := d.take(n)
		return binaryValue(b), err
	case 0xc7:
		_, err := d.take(n + 1)
		return extValue{}, err
	case 0xd9:
		return d.string(n)
	case 0xdb:
		return d.array(n, depth)
	default:
		return d.mapping(n, depth)
	}
}

func (d *decoder) string(n int) (any, error) {
	b, err := d.take(n)
	return string(b), err
}

// array reads n values. Each takes at least one byte, so a count that cannot fit is rejected before memory is allocated for
// it.
func (d *decoder) array(n, depth int) (any, error) {
	if n > d.bytesLeft {
		return nil, errFrameTooLong
	}
	list := make(arrayValue, 0, min(n, 16))
	for range n {
		value, err := d.value(depth + 1)
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	return list, nil
}

func (d *decoder) mapping(n, depth int) (any, error) {
	if 2*n > d.bytesLeft {
		return nil, errFrameTooLong
	}
	list := make(mapValue, 0, min(n, 16))
	for range n {
		key, err := d.value(depth + 1)
		if err != nil {
			return nil, err
		}
		value, err := d.value(depth + 1)
		if err != nil {
			return nil, err
		}
		list = append(list, pair{key, value})
	}
	return list, nil
}

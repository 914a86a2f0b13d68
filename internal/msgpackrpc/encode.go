// Package msgpackrpc speaks MessagePack-RPC with front ends: the codec, the connections and the
// listener. It knows nothing of what is decided about a request.
package msgpackrpc

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

const (
	maxBody  = 2 << 10             // of a request
	maxFrame = maxBody + (6 << 10) // body, fields and what frames them
	maxDepth = 6                   // of nested arrays and maps
	maxItems = 128                 // values in a frame; a decoded one takes far more memory than its byte
)

var (
	errTooLong = errors.New("frame too long")
	errTooDeep = errors.New("frame nested too deep")
	errTooFull = errors.New("frame of too many values")
)

// binaryValue and the types below are what a decoded value may be, besides nil, bool, int64, uint64,
// float64 and string.
type (
	binaryValue []byte
	arrayValue  []any
	mapValue    []pair
	pair        struct{ key, value any }
	extValue    struct{}
)

// decoder reads values from a stream, each frame up to maxFrame bytes.
type decoder struct {
	in    *bufio.Reader
	left  int // bytes that the frame may still have
	items int // values that it may still have
}

// next reads one whole value. After an error the stream can't be read on.
func (d *decoder) next() (any, error) {
	d.left, d.items = maxFrame, maxItems
	return d.value(0)
}

func (d *decoder) take(n int) ([]byte, error) {
	if n > d.left {
		return nil, errTooLong
	}
	d.left -= n
	b := make([]byte, n)
	for read := 0; read < n; {
		m, err := d.in.Read(b[read:])
		if err != nil {
			return nil, err
		}
		read += m
	}
	return b, nil
}

// uint reads a big-endian number of 1, 2, 4 or 8 bytes.
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
		return nil, errTooDeep
	}
	if d.items--; d.items < 0 {
		return nil, errTooFull
	}
	tag, err := d.uint(1)
	if err != nil {
		return nil, err
	}
	switch {
	case tag <= 0x7f:
		return int64(tag), nil
	case tag <= 0x8f:
		return d.mapOf(int(tag&0x0f), depth)
	case tag <= 0x9f:
		return d.arrayOf(int(tag&0x0f), depth)
	case tag <= 0xbf:
		return d.text(int(tag & 0x1f))
	case tag >= 0xe0:
		return int64(int8(tag)), nil
	}
	switch tag {
	case 0xc0:
		return nil, nil
	case 0xc2, 0xc3:
		return tag == 0xc3, nil
	case 0xca:
		v, err := d.uint(4)
		return float64(math.Float32frombits(uint32(v))), err
	case 0xcb:
		v, err := d.uint(8)
		return math.Float64frombits(v), err
	case 0xcc, 0xcd, 0xce, 0xcf:
		v, err := d.uint(1 << (tag - 0xcc))
		if v > math.MaxInt64 {
			return v, err
		}
		return int64(v), err
	case 0xd0, 0xd1, 0xd2, 0xd3:
		size := 1 << (tag - 0xd0)
		v, err := d.uint(size)
		shift := 64 - 8*size
		return int64(v<<shift) >> shift, err
	case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8:
		_, err := d.take(1 + 1<<(tag-0xd4))
		return extValue{}, err
	}
	return d.sized(tag, depth)
}

// firsts are the tags whose lengths have 1 byte, for those of 1, 2 and 4; arrays and maps begin at 2.
var firsts = [256]uint64{0xc4: 0xc4, 0xc5: 0xc4, 0xc6: 0xc4, 0xc7: 0xc7, 0xc8: 0xc7, 0xc9: 0xc7,
	0xd9: 0xd9, 0xda: 0xd9, 0xdb: 0xd9, 0xdc: 0xdb, 0xdd: 0xdb, 0xde: 0xdd, 0xdf: 0xdd}

// sized reads a value whose tag is followed by its length.
func (d *decoder) sized(tag uint64, depth int) (any, error) {
	first := firsts[tag]
	if first == 0 {
		return nil, fmt.Errorf("byte %#x starts no value", tag)
	}
	length, err := d.uint(1 << (tag - first))
	if err != nil {
		return nil, err
	}
	if length > maxFrame {
		return nil, errTooLong
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
		return d.text(n)
	case 0xdb:
		return d.arrayOf(n, depth)
	default:
		return d.mapOf(n, depth)
	}
}

func (d *decoder) text(n int) (any, error) {
	b, err := d.take(n)
	return string(b), err
}

// arrayOf reads n values. Each takes a byte at least, so a count that can't fit is refused before
// memory is taken for it.
func (d *decoder) arrayOf(n, depth int) (any, error) {
	if n > d.left {
		return nil, errTooLong
	}
	list := make(arrayValue, 0, min(n, 16))
	for range n {
		v, err := d.value(depth + 1)
		if err != nil {
			return nil, err
		}
		list = append(list, v)
	}
	return list, nil
}

func (d *decoder) mapOf(n, depth int) (any, error) {
	if 2*n > d.left {
		return nil, errTooLong
	}
	list := make(mapValue, 0, min(n, 16))
	for range n {
		k, err := d.value(depth + 1)
		if err != nil {
			return nil, err
		}
		v, err := d.value(depth + 1)
		if err != nil {
			return nil, err
		}
		list = append(list, pair{k, v})
	}
	return list, nil
}

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

package msgpackrpc

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"falldeal/internal/server"
)

// The plain decoder that the package began with: it builds each value as a tree of its own. Frames and fields
// are checked against it, and measured; the tests' front ends read answers with it.

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

// plainMessage is one frame from a front end.
type plainMessage struct {
	kind   int64
	id     uint32
	method string
	params arrayValue
}

// plainParseMessage takes a frame apart. An error wraps errBroken; what is only wrong about a request is
// found later, so that it can be answered.
func plainParseMessage(v any) (plainMessage, error) {
	var m plainMessage
	list, ok := v.(arrayValue)
	if !ok || len(list) < 3 {
		return m, fmt.Errorf("%w: want an array of 3 or 4", errBroken)
	}
	kind, ok := list[0].(int64)
	if !ok || kind != kindRequest && kind != kindNotification {
		return m, fmt.Errorf("%w: kind %v", errBroken, list[0])
	}
	m.kind = kind
	rest := list[1:]
	if kind == kindRequest {
		id, ok := rest[0].(int64)
		if !ok || id < 0 || id > math.MaxUint32 || len(rest) != 3 {
			return m, fmt.Errorf("%w: a request of %d parts with id %v", errBroken, len(list), rest[0])
		}
		m.id, rest = uint32(id), rest[1:]
	}
	if len(rest) != 2 {
		return m, fmt.Errorf("%w: a notification of %d parts", errBroken, len(list))
	}
	m.method, _ = rest[0].(string)
	m.params, _ = rest[1].(arrayValue)
	return m, nil
}

// params is a map of strings to strings that keeps the first error, which names the field.
type plainFields struct {
	values map[string]string
	err    error
}

func plainFieldsOf(v any) *plainFields {
	f := &plainFields{values: map[string]string{}}
	list, ok := v.(mapValue)
	if !ok {
		f.err = errors.New("fields: want a map")
		return f
	}
	for _, p := range list {
		key, ok := p.key.(string)
		value, isText := p.value.(string)
		if !ok || !isText {
			f.err = fmt.Errorf("field %v: want a string", p.key)
			return f
		}
		f.values[key] = value
	}
	return f
}

func (f *plainFields) fail(name, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: want %s, got %.40q", name, want, f.values[name])
	}
}

func (f *plainFields) whole(name string, least, most int64) int64 {
	v, err := strconv.ParseInt(f.values[name], 10, 64)
	if err != nil || v < least || v > most {
		f.fail(name, fmt.Sprintf("a whole number from %d to %d", least, most))
		return least
	}
	return v
}

func (f *plainFields) number(name string, most float64) float64 {
	v, err := strconv.ParseFloat(f.values[name], 64)
	if err != nil || !(v >= 0 && v < most) {
		f.fail(name, fmt.Sprintf("a number from 0 to under %g", most))
		return 0
	}
	return v
}

// hex reads a word of hex digits, which goes into messages to others as it is.
func (f *plainFields) hex(name string, least, most int) string {
	word := f.values[name]
	ok := len(word) >= least && len(word) <= most
	for _, c := range []byte(word) {
		ok = ok && (c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F')
	}
	if !ok {
		f.fail(name, fmt.Sprintf("%d to %d hex digits", least, most))
		return ""
	}
	return word
}

// plainParseTry reads the parameters of a request; an error names the field at fault.
func plainParseTry(m plainMessage) (server.Attempt, error) {
	t := server.Attempt{Class: m.method}
	switch {
	case m.method == "":
		return t, errors.New("method: want a string")
	case len(m.params) != 2:
		return t, errors.New("parameters: want [FIELDS, BODY]")
	}
	f := plainFieldsOf(m.params[0])
	if f.err != nil {
		return t, f.err
	}
	t.ID = f.hex("id", idDigits, idDigits)
	t.ArrivedAt = time.Duration(f.whole("at", 0, maxAt)) * time.Millisecond
	t.Timeout = time.Duration(f.whole("wait", 0, maxWait.Milliseconds())) * time.Millisecond
	t.Client = int(f.whole("from", 0, maxCaller))
	t.CostHint = time.Duration(f.number("cost", maxCost) * float64(time.Millisecond))
	if t.MemoryKB = f.number("kb", maxKB); t.MemoryKB == 0 {
		f.fail("kb", "a number above 0")
	}
	t.Rank = f.number("rank", 1)
	if _, ok := f.values["once"]; ok {
		t.IdempotencyKey = f.hex("once", 1, onceMost)
	}
	if t.Subject = f.values["key"]; len(t.Subject) > maxText {
		f.fail("key", fmt.Sprintf("up to %d bytes", maxText))
	}
	if f.err != nil {
		return t, f.err
	}
	body, ok := m.params[1].(binaryValue)
	if !ok || len(body) > maxBody {
		return t, fmt.Errorf("body: want up to %d bytes of type bin", maxBody)
	}
	t.Body = body
	return t, nil
}

// plainParseProbe reads the parameters of a health check.
func plainParseProbe(m plainMessage) (deep bool, err error) {
	if len(m.params) != 1 {
		return false, errors.New("parameters: want [FIELDS]")
	}
	f := plainFieldsOf(m.params[0])
	return f.values["deep"] == "1", f.err
}

// plainParseCancel reads which request a front end stops waiting for.
func plainParseCancel(m plainMessage) (uint32, bool) {
	if m.method != methodCancel || len(m.params) != 1 {
		return 0, false
	}
	id, ok := m.params[0].(int64)
	return uint32(id), ok && id >= 0 && id <= math.MaxUint32
}

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
	source     *bufio.Reader
	bytesLeft  int // bytes that the frame may still have
	valuesLeft int // values that it may still have
}

// next reads one whole value. After an error the stream can't be read on.
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

// firstTags are the tags whose lengths have 1 byte, for those of 1, 2 and 4; arrays and maps begin at 2.
var firstTags = [256]uint64{0xc4: 0xc4, 0xc5: 0xc4, 0xc6: 0xc4, 0xc7: 0xc7, 0xc8: 0xc7, 0xc9: 0xc7,
	0xd9: 0xd9, 0xda: 0xd9, 0xdb: 0xd9, 0xdc: 0xdb, 0xdd: 0xdb, 0xde: 0xdd, 0xdf: 0xdd}

// sized reads a value whose tag is followed by its length.
func (d *decoder) sized(tag uint64, depth int) (any, error) {
	first := firstTags[tag]
	if first == 0 {
		return nil, fmt.Errorf("byte %#x starts no value", tag)
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

// array reads n values. Each takes a byte at least, so a count that can't fit is refused before
// memory is taken for it.
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

// referenceMessage is one frame from a front end.
type referenceMessage struct {
	kind   int64
	call   uint32
	method string
	params arrayValue
}

// referenceParseMessage takes a frame apart. An error wraps errNotRPCMessage; what is only wrong about a request is
// found later, so that it can be answered.
func referenceParseMessage(v any) (referenceMessage, error) {
	var msg referenceMessage
	list, ok := v.(arrayValue)
	if !ok || len(list) < 3 {
		return msg, fmt.Errorf("%w: want an array of 3 or 4", errNotRPCMessage)
	}
	kind, ok := list[0].(int64)
	if !ok || kind != kindRequest && kind != kindNotification {
		return msg, fmt.Errorf("%w: kind %v", errNotRPCMessage, list[0])
	}
	msg.kind = kind
	rest := list[1:]
	if kind == kindRequest {
		id, ok := rest[0].(int64)
		if !ok || id < 0 || id > math.MaxUint32 || len(rest) != 3 {
			return msg, fmt.Errorf("%w: a request of %d parts with id %v", errNotRPCMessage, len(list), rest[0])
		}
		msg.call, rest = uint32(id), rest[1:]
	}
	if len(rest) != 2 {
		return msg, fmt.Errorf("%w: a notification of %d parts", errNotRPCMessage, len(list))
	}
	msg.method, _ = rest[0].(string)
	msg.params, _ = rest[1].(arrayValue)
	return msg, nil
}

// params is a map of strings to strings that keeps the first error, which names the field.
type referenceFields struct {
	values map[string]string
	err    error
}

func referenceReadFields(v any) *referenceFields {
	fields := &referenceFields{values: map[string]string{}}
	list, ok := v.(mapValue)
	if !ok {
		fields.err = errors.New("fields: want a map")
		return fields
	}
	for _, entry := range list {
		key, ok := entry.key.(string)
		value, isText := entry.value.(string)
		if !ok || !isText {
			fields.err = fmt.Errorf("field %v: want a string", entry.key)
			return fields
		}
		fields.values[key] = value
	}
	return fields
}

func (f *referenceFields) fail(name, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: want %s, got %.40q", name, want, f.values[name])
	}
}

func (f *referenceFields) integer(name string, minValue, maxValue int64) int64 {
	value, err := strconv.ParseInt(f.values[name], 10, 64)
	if err != nil || value < minValue || value > maxValue {
		f.fail(name, fmt.Sprintf("a whole number from %d to %d", minValue, maxValue))
		return minValue
	}
	return value
}

func (f *referenceFields) decimal(name string, limit float64) float64 {
	value, err := strconv.ParseFloat(f.values[name], 64)
	if err != nil || !(value >= 0 && value < limit) {
		f.fail(name, fmt.Sprintf("a number from 0 to under %g", limit))
		return 0
	}
	return value
}

// hex reads a word of hex digits, which goes into messages to others as it is.
func (f *referenceFields) hex(name string, minDigits, maxDigits int) string {
	digits := f.values[name]
	ok := len(digits) >= minDigits && len(digits) <= maxDigits
	for _, digit := range []byte(digits) {
		ok = ok && (digit >= '0' && digit <= '9' || digit >= 'a' && digit <= 'f' || digit >= 'A' && digit <= 'F')
	}
	if !ok {
		f.fail(name, fmt.Sprintf("%d to %d hex digits", minDigits, maxDigits))
		return ""
	}
	return digits
}

// referenceParseRequest reads the parameters of a request; an error names the field at fault.
func referenceParseRequest(msg referenceMessage) (server.Attempt, error) {
	attempt := server.Attempt{Class: msg.method}
	switch {
	case msg.method == "":
		return attempt, errors.New("method: want a string")
	case len(msg.params) != 2:
		return attempt, errors.New("parameters: want [FIELDS, BODY]")
	}
	params := referenceReadFields(msg.params[0])
	if params.err != nil {
		return attempt, params.err
	}
	attempt.ID = params.hex("id", requestIDDigits, requestIDDigits)
	attempt.ArrivedAt = time.Duration(params.integer("at", 0, maxArrivalMillis)) * time.Millisecond
	attempt.Timeout = time.Duration(params.integer("wait", 0, maxTimeout.Milliseconds())) * time.Millisecond
	attempt.Client = int(params.integer("from", 0, maxClient))
	attempt.CostHint = time.Duration(params.decimal("cost", maxCostMillis) * float64(time.Millisecond))
	if attempt.MemoryKB = params.decimal("kb", maxMemoryKB); attempt.MemoryKB == 0 {
		params.fail("kb", "a number above 0")
	}
	attempt.Rank = params.decimal("rank", 1)
	if _, ok := params.values["once"]; ok {
		attempt.IdempotencyKey = params.hex("once", 1, maxIdempotencyKeyDigits)
	}
	if attempt.Subject = params.values["key"]; len(attempt.Subject) > maxKeyLength {
		params.fail("key", fmt.Sprintf("up to %d bytes", maxKeyLength))
	}
	if params.err != nil {
		return attempt, params.err
	}
	body, ok := msg.params[1].(binaryValue)
	if !ok || len(body) > maxBody {
		return attempt, fmt.Errorf("body: want up to %d bytes of type bin", maxBody)
	}
	attempt.Body = body
	return attempt, nil
}

// referenceParseHealthCheck reads the parameters of a health check.
func referenceParseHealthCheck(msg referenceMessage) (deep bool, err error) {
	if len(msg.params) != 1 {
		return false, errors.New("parameters: want [FIELDS]")
	}
	params := referenceReadFields(msg.params[0])
	return params.values["deep"] == "1", params.err
}

// referenceParseCancel reads which request a front end stops waiting for.
func referenceParseCancel(msg referenceMessage) (uint32, bool) {
	if msg.method != methodCancel || len(msg.params) != 1 {
		return 0, false
	}
	id, ok := msg.params[0].(int64)
	return uint32(id), ok && id >= 0 && id <= math.MaxUint32
}

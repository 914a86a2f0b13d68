package msgpackrpc

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"falldeal/internal/server"
)

// The kinds of message, and the names that have a meaning of their own.
const (
	kindRequest      = 0
	kindResponse     = 1
	kindNotification = 2

	methodHealth  = "alive"
	methodCancel  = "cancelRequest"
	methodClosing = "closing"

	codeOverloaded = "Overloaded"
	codeInternal   = "Internal"
	codeInvalid    = "Invalid"
)

const (
	maxTimeout              = time.Hour
	maxArrivalMillis        = 1 << 42 // milliseconds; in the year 2109
	maxCostMillis           = 1e6     // milliseconds
	maxMemoryKB             = 2000
	maxKeyLength            = 128 // of a key
	requestIDDigits         = 16
	maxIdempotencyKeyDigits = 64
	maxClient               = math.MaxInt32
)

// message is one frame from a front end. It refers to the bytes of the frame.
type message struct {
	kind       int64
	id         uint32
	method     []byte // nil where it is no string
	params     cursor
	paramCount int // of params; -1 where they are no array
}

// errNotRPCMessage marks a frame after which the connection makes no sense any more.
var errNotRPCMessage = errors.New("no MessagePack-RPC message")

// cursor reads one value after the other of a frame that is known to be whole.
type cursor struct{ rest []byte }

// header reads the head of the next value. What belongs to it follows.
func (c *cursor) header() valueHeader {
	header, ok, err := parseHeader(c.rest)
	if err != nil || !ok {
		c.rest = nil // can't be in a whole frame
		return valueHeader{kind: valueNil}
	}
	c.rest = c.rest[header.size:]
	return header
}

// payload passes over what follows the head h, and returns it.
func (c *cursor) payload(header valueHeader) []byte {
	n := min(header.payloadSize(), len(c.rest))
	b := c.rest[:n:n]
	c.rest = c.rest[n:]
	return b
}

// skip passes over all that belongs to the value of the head h.
func (c *cursor) skip(header valueHeader) {
	c.payload(header)
	for range header.elements() {
		c.skip(c.header())
	}
}

// bytes reads the next value, and reports whether it is of that kind.
func (c *cursor) bytes(kind valueKind) ([]byte, bool) {
	header := c.header()
	if header.kind != kind {
		c.skip(header)
		return nil, false
	}
	return c.payload(header), true
}

// parseMessage takes a frame apart. An error wraps errNotRPCMessage; what is only wrong about a request is
// found later, so that it can be answered.
func parseMessage(frame []byte) (message, error) {
	msg := message{paramCount: -1}
	params := cursor{frame}
	list := params.header()
	if list.kind != valueArray || list.length < 3 {
		return msg, fmt.Errorf("%w: want an array of 3 or 4", errNotRPCMessage)
	}
	kind := params.header()
	if kind.kind != valueInt || kind.value != kindRequest && kind.value != kindNotification {
		return msg, fmt.Errorf("%w: neither request nor notification", errNotRPCMessage)
	}
	msg.kind = kind.value
	parts := 3
	if msg.kind == kindRequest {
		parts = 4
		id := params.header()
		if id.kind != valueInt || id.value < 0 || id.value > math.MaxUint32 {
			return msg, fmt.Errorf("%w: a request without a number", errNotRPCMessage)
		}
		msg.id = uint32(id.value)
	}
	if list.length != parts {
		return msg, fmt.Errorf("%w: %d parts instead of %d", errNotRPCMessage, list.length, parts)
	}
	msg.method, _ = params.bytes(valueString)
	if params := params.header(); params.kind == valueArray {
		msg.paramCount = params.length
	}
	msg.params = params
	return msg, nil
}

// The fields that have a meaning, in the order in which fields keeps them.
const (
	fieldID = iota
	fieldArrivedAt
	fieldTimeout
	fieldClient
	fieldCostHint
	fieldMemoryKB
	fieldRank
	fieldIdempotencyKey
	fieldSubject
	fieldDeep
	fieldTenant
	fieldRetry
	fieldCount
)

var fieldNames = [fieldCount]string{"id", "at", "wait", "from", "cost", "kb", "rank", "once", "key", "deep", "tenant", "retry"}

// fields is a map of strings to strings that keeps the first error, which names the field. The last value of a
// name counts, and other names are passed over.
type fields struct {
	values [fieldCount][]byte // nil: absent
	err    error
}

// readFields reads the next value of c, which has to be such a map.
func readFields(params *cursor) (f fields) {
	header := params.header()
	if header.kind != valueMap {
		f.err = errors.New("fields: want a map")
		return f
	}
	for range header.length {
		key, isKey := params.bytes(valueString)
		value, isText := params.bytes(valueString)
		if !isKey || !isText {
			f.err = fmt.Errorf("field %.40s: want a string", key)
			return f
		}
		for i, name := range fieldNames {
			if string(key) == name {
				f.values[i] = value
			}
		}
	}
	return f
}

func (f *fields) fail(field int, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: want %s, got %.40q", fieldNames[field], want, f.values[field])
	}
}

func (f *fields) integer(field int, minValue, maxValue int64) int64 {
	value, err := strconv.ParseInt(string(f.values[field]), 10, 64)
	if err != nil || value < minValue || value > maxValue {
		f.fail(field, fmt.Sprintf("a whole number from %d to %d", minValue, maxValue))
		return minValue
	}
	return value
}

// decimal reads a number that may be absent: 0.
func (f *fields) decimal(field int, limit float64) float64 {
	if f.values[field] == nil {
		return 0
	}
	value, err := strconv.ParseFloat(string(f.values[field]), 64)
	if err != nil || !(value >= 0 && value < limit) {
		f.fail(field, fmt.Sprintf("a number from 0 to under %g", limit))
		return 0
	}
	return value
}

// hex reads a word of hex digits, which goes into messages to others as it is.
func (f *fields) hex(field, minDigits, maxDigits int) string {
	digits := f.values[field]
	ok := len(digits) >= minDigits && len(digits) <= maxDigits
	for _, digit := range digits {
		ok = ok && (digit >= '0' && digit <= '9' || digit >= 'a' && digit <= 'f' || digit >= 'A' && digit <= 'F')
	}
	if !ok {
		f.fail(field, fmt.Sprintf("%d to %d hex digits", minDigits, maxDigits))
		return ""
	}
	return string(digits)
}

// methodCache keeps the methods that came on a connection, so that a known one takes no memory again.
type methodCache []string

const maxCachedMethods = 16 // kept; a site has a few classes

func (n *methodCache) intern(method []byte) string {
	for _, known := range *n {
		if known == string(method) {
			return known
		}
	}
	name := string(method)
	if len(*n) < maxCachedMethods && len(name) <= maxKeyLength {
		*n = append(*n, name)
	}
	return name
}

// parseRequest reads the parameters of a request; an error names the field at fault. Nothing of the Try refers to
// the frame.
func parseRequest(msg message, methods *methodCache) (server.Attempt, error) {
	attempt := server.Attempt{Class: methods.intern(msg.method)}
	switch {
	case attempt.Class == "":
		return attempt, errors.New("method: want a string")
	case msg.paramCount != 2:
		return attempt, errors.New("parameters: want [FIELDS, BODY]")
	}
	params := readFields(&msg.params)
	if params.err != nil {
		return attempt, params.err
	}
	attempt.ID = params.hex(fieldID, requestIDDigits, requestIDDigits)
	attempt.ArrivedAt = time.Duration(params.integer(fieldArrivedAt, 0, maxArrivalMillis)) * time.Millisecond
	if params.values[fieldTimeout] != nil {
		attempt.Timeout = time.Duration(params.integer(fieldTimeout, 0, maxTimeout.Milliseconds())) * time.Millisecond
	}
	attempt.Client = int(params.integer(fieldClient, 0, maxClient))
	attempt.CostHint = time.Duration(params.decimal(fieldCostHint, maxCostMillis) * float64(time.Millisecond))
	if attempt.MemoryKB = params.decimal(fieldMemoryKB, maxMemoryKB); attempt.MemoryKB == 0 {
		params.fail(fieldMemoryKB, "a number above 0")
	}
	attempt.Rank = params.decimal(fieldRank, 1)
	if params.values[fieldIdempotencyKey] != nil {
		attempt.IdempotencyKey = params.hex(fieldIdempotencyKey, 1, maxIdempotencyKeyDigits)
	}
	if attempt.Tenant = string(params.values[fieldTenant]); len(attempt.Tenant) > maxKeyLength {
		params.fail(fieldTenant, fmt.Sprintf("up to %d bytes", maxKeyLength))
	}
	attempt.Retry = string(params.values[fieldRetry]) == "1"
	if attempt.Subject = string(params.values[fieldSubject]); len(attempt.Subject) > maxKeyLength {
		params.fail(fieldSubject, fmt.Sprintf("up to %d bytes", maxKeyLength))
	}
	if params.err != nil {
		return attempt, params.err
	}
	body, ok := msg.params.bytes(valueBinary)
	if !ok || len(body) > maxBody {
		return attempt, fmt.Errorf("body: want up to %d bytes of type bin", maxBody)
	}
	attempt.Body = append(make([]byte, 0, len(body)), body...)
	return attempt, nil
}

// parseHealthCheck reads the parameters of a health check.
func parseHealthCheck(msg message) (deep bool, err error) {
	if msg.paramCount != 1 {
		return false, errors.New("parameters: want [FIELDS]")
	}
	params := readFields(&msg.params)
	return string(params.values[fieldDeep]) == "1", params.err
}

// parseCancel reads which request a front end stops waiting for.
func parseCancel(msg message) (uint32, bool) {
	if string(msg.method) != methodCancel || msg.paramCount != 1 {
		return 0, false
	}
	id := msg.params.header()
	return uint32(id.value), id.kind == valueInt && id.value >= 0 && id.value <= math.MaxUint32
}

func encodeClosing(b []byte) []byte {
	b = append(appendArray(b, 3), kindNotification)
	return appendArray(appendString(b, methodClosing), 0)
}

// answerOverhead is what an answer takes besides the body.
const answerOverhead = 48

func encodeAnswer(b []byte, id uint32, answer server.Answer) []byte {
	b = slices.Grow(b, answerOverhead+len(answer.Body))
	b = appendUint(append(appendArray(b, 4), kindResponse), id)
	switch answer.Kind {
	case server.Served:
		b = appendBinary(appendArray(appendNil(b), 2), answer.Body)
		return appendMap(b, 0)
	case server.Healthy, server.Unhealthy:
		b = appendBool(appendArray(appendNil(b), 2), answer.Kind == server.Healthy)
		return appendMap(b, 0)
	case server.Rejected:
		return appendNil(appendRejection(b, answer))
	case server.Invalid:
		b = appendString(appendMap(appendString(appendArray(b, 2), codeInvalid), 1), "reason")
		return appendNil(appendString(b, answer.Reason))
	default:
		b = appendMap(appendString(appendArray(b, 2), codeInternal), 0)
		return appendNil(b)
	}
}

func appendRejection(b []byte, answer server.Answer) []byte {
	after := answer.RetryAfter.Milliseconds()
	n := 0
	if after > 0 {
		n++
	}
	if answer.NoRetryElsewhere {
		n++
	}
	b = appendMap(appendString(appendArray(b, 2), codeOverloaded), n)
	if after > 0 {
		b = appendString(appendString(b, "after"), strconv.FormatInt(after, 10))
	}
	if answer.NoRetryElsewhere {
		b = appendString(appendString(b, "last"), "1")
	}
	return b
}

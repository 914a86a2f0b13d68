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
	kindAnswer       = 1
	kindNotification = 2

	methodHealth  = "alive"
	methodCancel  = "cancelRequest"
	methodClosing = "closing"

	errRefused = "Overloaded"
	errFailed  = "Internal"
	errInvalid = "Invalid"
)

const (
	maxWait   = time.Hour
	maxAt     = 1 << 42 // milliseconds; in the year 2109
	maxCost   = 1e6     // milliseconds
	maxKB     = 2000
	maxText   = 128 // of a key
	idDigits  = 16
	onceMost  = 64
	maxCaller = math.MaxInt32
)

// message is one frame from a front end. It refers to the bytes of the frame.
type message struct {
	kind   int64
	id     uint32
	method []byte // nil where it is no string
	params cursor
	count  int // of params; -1 where they are no array
}

// errBroken marks a frame after which the connection makes no sense any more.
var errBroken = errors.New("no MessagePack-RPC message")

// cursor reads one value after the other of a frame that is known to be whole.
type cursor struct{ rest []byte }

// head reads the head of the next value. What belongs to it follows.
func (c *cursor) head() head {
	h, ok, err := headOf(c.rest)
	if err != nil || !ok {
		c.rest = nil // can't be in a whole frame
		return head{kind: nilValue}
	}
	c.rest = c.rest[h.size:]
	return h
}

// payload passes over what follows the head h, and returns it.
func (c *cursor) payload(h head) []byte {
	n := min(h.payload(), len(c.rest))
	b := c.rest[:n:n]
	c.rest = c.rest[n:]
	return b
}

// skip passes over all that belongs to the value of the head h.
func (c *cursor) skip(h head) {
	c.payload(h)
	for range h.values() {
		c.skip(c.head())
	}
}

// bytes reads the next value, and reports whether it is of that kind.
func (c *cursor) bytes(kind valueKind) ([]byte, bool) {
	h := c.head()
	if h.kind != kind {
		c.skip(h)
		return nil, false
	}
	return c.payload(h), true
}

// parseMessage takes a frame apart. An error wraps errBroken; what is only wrong about a request is
// found later, so that it can be answered.
func parseMessage(frame []byte) (message, error) {
	m := message{count: -1}
	c := cursor{frame}
	list := c.head()
	if list.kind != arrayOf || list.n < 3 {
		return m, fmt.Errorf("%w: want an array of 3 or 4", errBroken)
	}
	kind := c.head()
	if kind.kind != intValue || kind.v != kindRequest && kind.v != kindNotification {
		return m, fmt.Errorf("%w: neither request nor notification", errBroken)
	}
	m.kind = kind.v
	parts := 3
	if m.kind == kindRequest {
		parts = 4
		id := c.head()
		if id.kind != intValue || id.v < 0 || id.v > math.MaxUint32 {
			return m, fmt.Errorf("%w: a request without a number", errBroken)
		}
		m.id = uint32(id.v)
	}
	if list.n != parts {
		return m, fmt.Errorf("%w: %d parts instead of %d", errBroken, list.n, parts)
	}
	m.method, _ = c.bytes(textValue)
	if params := c.head(); params.kind == arrayOf {
		m.count = params.n
	}
	m.params = c
	return m, nil
}

// The fields that have a meaning, in the order in which fields keeps them.
const (
	fieldID = iota
	fieldAt
	fieldWait
	fieldFrom
	fieldCost
	fieldKB
	fieldRank
	fieldOnce
	fieldKey
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
func readFields(c *cursor) (f fields) {
	h := c.head()
	if h.kind != mapOf {
		f.err = errors.New("fields: want a map")
		return f
	}
	for range h.n {
		key, isKey := c.bytes(textValue)
		value, isText := c.bytes(textValue)
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

func (f *fields) whole(field int, least, most int64) int64 {
	v, err := strconv.ParseInt(string(f.values[field]), 10, 64)
	if err != nil || v < least || v > most {
		f.fail(field, fmt.Sprintf("a whole number from %d to %d", least, most))
		return least
	}
	return v
}

// number reads a number that may be absent: 0.
func (f *fields) number(field int, most float64) float64 {
	if f.values[field] == nil {
		return 0
	}
	v, err := strconv.ParseFloat(string(f.values[field]), 64)
	if err != nil || !(v >= 0 && v < most) {
		f.fail(field, fmt.Sprintf("a number from 0 to under %g", most))
		return 0
	}
	return v
}

// hex reads a word of hex digits, which goes into messages to others as it is.
func (f *fields) hex(field, least, most int) string {
	word := f.values[field]
	ok := len(word) >= least && len(word) <= most
	for _, c := range word {
		ok = ok && (c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F')
	}
	if !ok {
		f.fail(field, fmt.Sprintf("%d to %d hex digits", least, most))
		return ""
	}
	return string(word)
}

// names keeps the methods that came on a connection, so that a known one takes no memory again.
type names []string

const namesMost = 16 // kept; a site has a few classes

func (n *names) of(method []byte) string {
	for _, known := range *n {
		if known == string(method) {
			return known
		}
	}
	name := string(method)
	if len(*n) < namesMost && len(name) <= maxText {
		*n = append(*n, name)
	}
	return name
}

// parseTry reads the parameters of a request; an error names the field at fault. Nothing of the Try refers to
// the frame.
func parseTry(m message, known *names) (server.Attempt, error) {
	t := server.Attempt{Class: known.of(m.method)}
	switch {
	case t.Class == "":
		return t, errors.New("method: want a string")
	case m.count != 2:
		return t, errors.New("parameters: want [FIELDS, BODY]")
	}
	f := readFields(&m.params)
	if f.err != nil {
		return t, f.err
	}
	t.ID = f.hex(fieldID, idDigits, idDigits)
	t.ArrivedAt = time.Duration(f.whole(fieldAt, 0, maxAt)) * time.Millisecond
	if f.values[fieldWait] != nil {
		t.Timeout = time.Duration(f.whole(fieldWait, 0, maxWait.Milliseconds())) * time.Millisecond
	}
	t.Client = int(f.whole(fieldFrom, 0, maxCaller))
	t.CostHint = time.Duration(f.number(fieldCost, maxCost) * float64(time.Millisecond))
	if t.MemoryKB = f.number(fieldKB, maxKB); t.MemoryKB == 0 {
		f.fail(fieldKB, "a number above 0")
	}
	t.Rank = f.number(fieldRank, 1)
	if f.values[fieldOnce] != nil {
		t.IdempotencyKey = f.hex(fieldOnce, 1, onceMost)
	}
	if t.Tenant = string(f.values[fieldTenant]); len(t.Tenant) > maxText {
		f.fail(fieldTenant, fmt.Sprintf("up to %d bytes", maxText))
	}
	t.Retry = string(f.values[fieldRetry]) == "1"
	if t.Subject = string(f.values[fieldKey]); len(t.Subject) > maxText {
		f.fail(fieldKey, fmt.Sprintf("up to %d bytes", maxText))
	}
	if f.err != nil {
		return t, f.err
	}
	body, ok := m.params.bytes(binValue)
	if !ok || len(body) > maxBody {
		return t, fmt.Errorf("body: want up to %d bytes of type bin", maxBody)
	}
	t.Body = append(make([]byte, 0, len(body)), body...)
	return t, nil
}

// parseProbe reads the parameters of a health check.
func parseProbe(m message) (deep bool, err error) {
	if m.count != 1 {
		return false, errors.New("parameters: want [FIELDS]")
	}
	f := readFields(&m.params)
	return string(f.values[fieldDeep]) == "1", f.err
}

// parseCancel reads which request a front end stops waiting for.
func parseCancel(m message) (uint32, bool) {
	if string(m.method) != methodCancel || m.count != 1 {
		return 0, false
	}
	id := m.params.head()
	return uint32(id.v), id.kind == intValue && id.v >= 0 && id.v <= math.MaxUint32
}

func appendClosing(b []byte) []byte {
	b = append(appendArray(b, 3), kindNotification)
	return appendArray(appendText(b, methodClosing), 0)
}

// answerRoom is what an answer takes besides the body.
const answerRoom = 48

func appendAnswer(b []byte, id uint32, a server.Answer) []byte {
	b = slices.Grow(b, answerRoom+len(a.Body))
	b = appendUint(append(appendArray(b, 4), kindAnswer), id)
	switch a.Kind {
	case server.Served:
		b = appendBinary(appendArray(appendNil(b), 2), a.Body)
		return appendMap(b, 0)
	case server.Healthy, server.Unhealthy:
		b = appendBool(appendArray(appendNil(b), 2), a.Kind == server.Healthy)
		return appendMap(b, 0)
	case server.Rejected:
		return appendNil(appendRefusal(b, a))
	case server.Invalid:
		b = appendText(appendMap(appendText(appendArray(b, 2), errInvalid), 1), "reason")
		return appendNil(appendText(b, a.Reason))
	default:
		b = appendMap(appendText(appendArray(b, 2), errFailed), 0)
		return appendNil(b)
	}
}

func appendRefusal(b []byte, a server.Answer) []byte {
	after := a.RetryAfter.Milliseconds()
	n := 0
	if after > 0 {
		n++
	}
	if a.NoRetryElsewhere {
		n++
	}
	b = appendMap(appendText(appendArray(b, 2), errRefused), n)
	if after > 0 {
		b = appendText(appendText(b, "after"), strconv.FormatInt(after, 10))
	}
	if a.NoRetryElsewhere {
		b = appendText(appendText(b, "last"), "1")
	}
	return b
}

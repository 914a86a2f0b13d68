package msgpackrpc

import (
	"errors"
	"fmt"
	"math"
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

// message is one frame from a front end.
type message struct {
	kind   int64
	id     uint32
	method string
	params arrayValue
}

// errBroken marks a frame after which the connection makes no sense any more.
var errBroken = errors.New("no MessagePack-RPC message")

// parseMessage takes a frame apart. An error wraps errBroken; what is only wrong about a request is
// found later, so that it can be answered.
func parseMessage(v any) (message, error) {
	var m message
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
type fields struct {
	values map[string]string
	err    error
}

func fieldsOf(v any) *fields {
	f := &fields{values: map[string]string{}}
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

func (f *fields) fail(name, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: want %s, got %.40q", name, want, f.values[name])
	}
}

func (f *fields) whole(name string, least, most int64) int64 {
	v, err := strconv.ParseInt(f.values[name], 10, 64)
	if err != nil || v < least || v > most {
		f.fail(name, fmt.Sprintf("a whole number from %d to %d", least, most))
		return least
	}
	return v
}

func (f *fields) number(name string, most float64) float64 {
	v, err := strconv.ParseFloat(f.values[name], 64)
	if err != nil || !(v >= 0 && v < most) {
		f.fail(name, fmt.Sprintf("a number from 0 to under %g", most))
		return 0
	}
	return v
}

// hex reads a word of hex digits, which goes into messages to others as it is.
func (f *fields) hex(name string, least, most int) string {
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

// parseTry reads the parameters of a request; an error names the field at fault.
func parseTry(m message) (server.Try, error) {
	t := server.Try{Class: m.method}
	switch {
	case m.method == "":
		return t, errors.New("method: want a string")
	case len(m.params) != 2:
		return t, errors.New("parameters: want [FIELDS, BODY]")
	}
	f := fieldsOf(m.params[0])
	if f.err != nil {
		return t, f.err
	}
	t.ID = f.hex("id", idDigits, idDigits)
	t.At = time.Duration(f.whole("at", 0, maxAt)) * time.Millisecond
	t.Wait = time.Duration(f.whole("wait", 0, maxWait.Milliseconds())) * time.Millisecond
	t.Caller = int(f.whole("from", 0, maxCaller))
	t.Cost = time.Duration(f.number("cost", maxCost) * float64(time.Millisecond))
	if t.KB = f.number("kb", maxKB); t.KB == 0 {
		f.fail("kb", "a number above 0")
	}
	t.Rank = f.number("rank", 1)
	if _, ok := f.values["once"]; ok {
		t.Once = f.hex("once", 1, onceMost)
	}
	if t.Key = f.values["key"]; len(t.Key) > maxText {
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

// parseProbe reads the parameters of a health check.
func parseProbe(m message) (deep bool, err error) {
	if len(m.params) != 1 {
		return false, errors.New("parameters: want [FIELDS]")
	}
	f := fieldsOf(m.params[0])
	return f.values["deep"] == "1", f.err
}

// parseCancel reads which request a front end stops waiting for.
func parseCancel(m message) (uint32, bool) {
	if m.method != methodCancel || len(m.params) != 1 {
		return 0, false
	}
	id, ok := m.params[0].(int64)
	return uint32(id), ok && id >= 0 && id <= math.MaxUint32
}

func appendClosing(b []byte) []byte {
	b = append(appendArray(b, 3), kindNotification)
	return appendArray(appendText(b, methodClosing), 0)
}

func appendAnswer(b []byte, id uint32, a server.Answer) []byte {
	b = appendUint(append(appendArray(b, 4), kindAnswer), id)
	switch a.Kind {
	case server.Served:
		b = appendBinary(appendArray(appendNil(b), 2), a.Body)
		return appendMap(b, 0)
	case server.Healthy, server.Unhealthy:
		b = appendBool(appendArray(appendNil(b), 2), a.Kind == server.Healthy)
		return appendMap(b, 0)
	case server.Refused:
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
	after := a.After.Milliseconds()
	n := 0
	if after > 0 {
		n++
	}
	if a.Last {
		n++
	}
	b = appendMap(appendText(appendArray(b, 2), errRefused), n)
	if after > 0 {
		b = appendText(appendText(b, "after"), strconv.FormatInt(after, 10))
	}
	if a.Last {
		b = appendText(appendText(b, "last"), "1")
	}
	return b
}

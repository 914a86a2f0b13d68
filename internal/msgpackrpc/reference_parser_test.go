package msgpackrpc

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"falldeal/internal/server"
)

// referenceMessage is one message from a client.
type referenceMessage struct {
	kind   messageKind
	call   uint32
	method string
	params arrayValue
}

// referenceParseMessage parses the envelope of a message. Its errors wrap errNotRPCMessage. Faults in the method and the
// parameters of a request are left to later checks, as in parseMessage.
func referenceParseMessage(v any) (referenceMessage, error) {
	var msg referenceMessage
	list, ok := v.(arrayValue)
	if !ok || len(list) < 3 {
		return msg, fmt.Errorf("%w: want an array of 3 or 4 elements", errNotRPCMessage)
	}
	kind, ok := list[0].(int64)
	if !ok || kind != int64(kindRequest) && kind != int64(kindNotification) {
		return msg, fmt.Errorf("%w: kind %v", errNotRPCMessage, list[0])
	}
	msg.kind = messageKind(kind)
	rest := list[1:]
	if msg.kind == kindRequest {
		id, ok := rest[0].(int64)
		if !ok || id < 0 || id > math.MaxUint32 || len(rest) != 3 {
			return msg, fmt.Errorf("%w: request of %d elements with call number %v", errNotRPCMessage, len(list), rest[0])
		}
		msg.call, rest = uint32(id), rest[1:]
	}
	if len(rest) != 2 {
		return msg, fmt.Errorf("%w: notification of %d elements", errNotRPCMessage, len(list))
	}
	msg.method, _ = rest[0].(string)
	msg.params, _ = rest[1].(arrayValue)
	return msg, nil
}

// referenceFields is a map of strings to strings. err is the first error and names the field.
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
	text, ok := f.values[name]
	if !ok {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0 && value < limit) {
		f.fail(name, fmt.Sprintf("a number from 0 to under %g", limit))
		return 0
	}
	return value
}

// hex reads hex digits and rejects any other character, as fields.hex does.
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

// referenceParseRequest parses a request. An error names the invalid field.
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
	attempt.ArrivedAt = time.Duration(params.integer("at", 0, maxArrivedAt.Milliseconds())) * time.Millisecond
	if _, ok := params.values["wait"]; ok {
		attempt.Timeout = time.Duration(params.integer("wait", 0, maxTimeout.Milliseconds())) * time.Millisecond
	}
	attempt.Client = int(params.integer("from", 0, maxClient))
	attempt.CostHint = time.Duration(params.decimal("cost", costLimitMillis) * float64(time.Millisecond))
	if attempt.MemoryKB = params.decimal("kb", memoryLimitKB); attempt.MemoryKB == 0 {
		params.fail("kb", "a number above 0")
	}
	attempt.Rank = params.decimal("rank", 1)
	if _, ok := params.values["once"]; ok {
		attempt.IdempotencyKey = params.hex("once", 1, maxIdempotencyKeyDigits)
	}
	attempt.Retry = params.values["retry"] == "1"
	if attempt.Tenant = params.values["tenant"]; len(attempt.Tenant) > maxKeyLength {
		params.fail("tenant", fmt.Sprintf("up to %d bytes", maxKeyLength))
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

func referenceParseHealthCheck(msg referenceMessage) (deep bool, err error) {
	if len(msg.params) != 1 {
		return false, errors.New("parameters: want [FIELDS]")
	}
	params := referenceReadFields(msg.params[0])
	return params.values["deep"] == "1", params.err
}

// referenceParseCancel returns the call that a client cancels.
func referenceParseCancel(msg referenceMessage) (uint32, bool) {
	if msg.method != methodCancel || len(msg.params) != 1 {
		return 0, false
	}
	id, ok := msg.params[0].(int64)
	return uint32(id), ok && id >= 0 && id <= math.MaxUint32
}

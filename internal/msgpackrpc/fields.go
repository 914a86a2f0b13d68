package msgpackrpc

import (
	"fmt"
	"strconv"
	"time"
)

// field is a request field that this server evaluates.
type field int

// The fields. fieldDeep belongs to a health check. The others belong to a request and are described at server.Attempt.
const (
	fieldID field = iota
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
	fieldCount // number of fields
)

// fieldNames are the names of the fields on the wire.
var fieldNames = [fieldCount]string{
	fieldID:             "id",
	fieldArrivedAt:      "at",
	fieldTimeout:        "wait",
	fieldClient:         "from",
	fieldCostHint:       "cost",
	fieldMemoryKB:       "kb",
	fieldRank:           "rank",
	fieldIdempotencyKey: "once",
	fieldSubject:        "key",
	fieldDeep:           "deep",
	fieldTenant:         "tenant",
	fieldRetry:          "retry",
}

// String returns the name of the field on the wire.
func (f field) String() string { return fieldNames[f] }

// fields holds the values of a request's fields, which are slices of the frame, and the first error found in them. If a
// name occurs twice, the last value counts. Unknown names are ignored. A method that reads a field sets err if the value is
// invalid and err is nil. The values returned by these methods must not be used if err is set.
type fields struct {
	values [fieldCount][]byte // nil: field absent
	err    error
}

// readFields reads the next value of params, which must be a map of strings to strings.
func readFields(params *cursor) (f fields) {
	header := params.header()
	if header.kind != valueMap {
		f.err = &fieldError{part: partFields, problem: "want a map"}
		return f
	}
	for range header.length {
		name, nameOK := params.bytes(valueString)
		value, valueOK := params.bytes(valueString)
		if !nameOK || !valueOK {
			f.err = &fieldError{part: partField, field: string(name), problem: "want a string"}
			return f
		}
		f.set(name, value)
	}
	return f
}

func (f *fields) set(name, value []byte) {
	for id, known := range fieldNames {
		if string(name) == known {
			f.values[id] = value
		}
	}
}

func (f *fields) has(id field) bool { return f.values[id] != nil }

// isTrue reports whether a flag is "1". Any other value and an absent field mean false.
func (f *fields) isTrue(id field) bool { return string(f.values[id]) == "1" }

// fail records that a field is invalid, unless an error is recorded already.
func (f *fields) fail(id field, want string) {
	if f.err == nil {
		problem := fmt.Sprintf("want %s, got %.40q", want, f.values[id])
		f.err = &fieldError{part: partField, field: id.String(), problem: problem}
	}
}

// integer reads a decimal integer from minValue to maxValue. An absent field is invalid.
func (f *fields) integer(id field, minValue, maxValue int64) int64 {
	value, err := strconv.ParseInt(string(f.values[id]), 10, 64)
	if err != nil || value < minValue || value > maxValue {
		f.fail(id, fmt.Sprintf("a whole number from %d to %d", minValue, maxValue))
		return minValue
	}
	return value
}

// milliseconds reads a whole number of milliseconds from 0 to limit. An absent field is invalid.
func (f *fields) milliseconds(id field, limit time.Duration) time.Duration {
	return time.Duration(f.integer(id, 0, limit.Milliseconds())) * time.Millisecond
}

// decimal reads a number that is at least 0 and less than limit. It returns 0 if the field is absent.
func (f *fields) decimal(id field, limit float64) float64 {
	if !f.has(id) {
		return 0
	}
	value, err := strconv.ParseFloat(string(f.values[id]), 64)
	inRange := value >= 0 && value < limit // false for NaN
	if err != nil || !inRange {
		f.fail(id, fmt.Sprintf("a number from 0 to under %g", limit))
		return 0
	}
	return value
}

// hex reads hex digits. They are passed on unchanged in messages of other protocols, in which other characters might have to
// be escaped, so these are rejected.
func (f *fields) hex(id field, minDigits, maxDigits int) string {
	digits := f.values[id]
	ok := len(digits) >= minDigits && len(digits) <= maxDigits
	for _, digit := range digits {
		ok = ok && isHexDigit(digit)
	}
	if !ok {
		f.fail(id, fmt.Sprintf("%d to %d hex digits", minDigits, maxDigits))
		return ""
	}
	return string(digits)
}

func isHexDigit(c byte) bool {
	switch {
	case '0' <= c && c <= '9', 'a' <= c && c <= 'f', 'A' <= c && c <= 'F':
		return true
	}
	return false
}

// text reads a string of up to maxBytes bytes. It returns "" if the field is absent.
func (f *fields) text(id field, maxBytes int) string {
	value := f.values[id]
	if len(value) > maxBytes {
		f.fail(id, fmt.Sprintf("up to %d bytes", maxBytes))
	}
	return string(value)
}

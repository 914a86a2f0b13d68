package msgpackrpc

import (
	"fmt"
	"strconv"
	"time"
)

// field is a field of a request that has a meaning.
type field int

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
	fieldCount
)

// fieldNames are the names on the wire.
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

// String returns the name on the wire.
func (f field) String() string { return fieldNames[f] }

// fields are the values of a request's fields, which refer to the frame, and the first error that was found in them.
// Of a name that comes twice the last value counts; unknown names are ignored. The methods that read a field note an error
// in err, and return a value in range then.
type fields struct {
	values [fieldCount][]byte // nil: absent
	err    error
}

// readFields reads the next value of params, which has to be a map of strings to strings.
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

// isTrue reports whether a flag is set; it is absent or "0" otherwise.
func (f *fields) isTrue(id field) bool { return string(f.values[id]) == "1" }

// fail notes that a field is wrong, unless another was found before.
func (f *fields) fail(id field, want string) {
	if f.err == nil {
		problem := fmt.Sprintf("want %s, got %.40q", want, f.values[id])
		f.err = &fieldError{part: partField, field: id.String(), problem: problem}
	}
}

// integer reads a decimal integer from minValue to maxValue.
func (f *fields) integer(id field, minValue, maxValue int64) int64 {
	value, err := strconv.ParseInt(string(f.values[id]), 10, 64)
	if err != nil || value < minValue || value > maxValue {
		f.fail(id, fmt.Sprintf("a whole number from %d to %d", minValue, maxValue))
		return minValue
	}
	return value
}

// milliseconds reads a whole number of milliseconds from 0 to limit.
func (f *fields) milliseconds(id field, limit time.Duration) time.Duration {
	return time.Duration(f.integer(id, 0, limit.Milliseconds())) * time.Millisecond
}

// decimal reads a number from 0 to below limit; it is 0 where absent.
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

// hex reads hex digits, which are passed on to other peers as they are.
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

// text reads a string of up to maxBytes bytes, which may be absent.
func (f *fields) text(id field, maxBytes int) string {
	value := f.values[id]
	if len(value) > maxBytes {
		f.fail(id, fmt.Sprintf("up to %d bytes", maxBytes))
	}
	return string(value)
}

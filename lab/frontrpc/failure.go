package frontrpc

import (
	"strconv"
	"time"
)

// Names on the wire of the fields of the error that rejects a request.
const (
	fieldRetryAfterMillis = "after"
	fieldNoRetryElsewhere = "last" // "1" if set
)

// Failure is the error of a response.
type Failure struct {
	Name             string
	RetryAfter       time.Duration // 0 = not given
	NoRetryElsewhere bool          // the request must not be retried at another server either
}

// ParseFailure parses the error of a response: a list of its name and, optionally, its fields. Ok is false if the
// value has another form. Fields that cannot be parsed are left zero.
func ParseFailure(value any) (failure Failure, ok bool) {
	list, isList := value.([]any)
	if !isList || len(list) == 0 {
		return Failure{}, false
	}
	if failure.Name, ok = list[0].(string); !ok {
		return Failure{}, false
	}
	if len(list) == 1 {
		return failure, true
	}
	fields, isMap := list[1].(map[string]any)
	if !isMap {
		return failure, true
	}
	failure.NoRetryElsewhere = fields[fieldNoRetryElsewhere] == "1"
	if text, isText := fields[fieldRetryAfterMillis].(string); isText {
		failure.RetryAfter = parseMillis(text)
	}
	return failure, true
}

// parseMillis parses a number of milliseconds. It returns 0 if the text is not a number.
func parseMillis(text string) time.Duration {
	millis, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(millis * float64(time.Millisecond))
}

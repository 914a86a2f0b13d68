package frontrpc

import (
	"strconv"
	"time"
)

// Fields of the error that rejects a request, as they stand on the wire.
const (
	fieldRetryAfterMillis = "after"
	fieldNoRetryElsewhere = "last" // "1" where it is set
)

// Failure is the error of a response.
type Failure struct {
	Name             string
	RetryAfter       time.Duration // 0: not advised
	NoRetryElsewhere bool
}

// ParseFailure reads the error of a response: a list of its name and its fields. Ok is false where it has another form.
// Fields that can't be read are left out.
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

// parseMillis reads a number of milliseconds; 0 where there is none.
func parseMillis(text string) time.Duration {
	millis, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(millis * float64(time.Millisecond))
}

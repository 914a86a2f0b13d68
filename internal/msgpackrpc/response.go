package msgpackrpc

import (
	"slices"
	"strconv"

	"falldeal/internal/server"
)

// Error codes in a response.
const (
	codeOverloaded = "Overloaded"
	codeInternal   = "Internal"
	codeInvalid    = "Invalid"
)

// Names of the details of an error. The values are strings.
const (
	detailRetryAfter       = "after"  // milliseconds until the client may retry
	detailNoRetryElsewhere = "last"   // "1": the client should not retry on another server
	detailReason           = "reason" // why the request is invalid
)

// responseOverhead is the capacity in bytes reserved for a response in addition to its body.
const responseOverhead = 48

// encodeAnswer returns the response to a call.
func encodeAnswer(call uint32, answer server.Answer) []byte {
	b := slices.Grow([]byte(nil), responseOverhead+len(answer.Body))
	b = appendArray(b, requestElements)
	b = append(b, byte(kindResponse))
	b = appendUint(b, call)
	switch answer.Kind {
	case server.Served:
		b = appendResultHead(b)
		b = appendBinary(b, answer.Body)
		return appendResultEnd(b)
	case server.Healthy, server.Unhealthy:
		b = appendResultHead(b)
		b = appendBool(b, answer.Kind == server.Healthy)
		return appendResultEnd(b)
	case server.Rejected:
		b = appendRejection(b, answer)
	case server.Invalid:
		b = appendError(b, codeInvalid, 1)
		b = appendDetail(b, detailReason, answer.Reason)
	default: // server.Failed; an unknown kind must not appear as a success
		b = appendError(b, codeInternal, 0)
	}
	return appendNil(b) // the result
}

// appendResultHead appends a nil error and the start of the result. The caller appends the result's value and calls
// appendResultEnd.
func appendResultHead(b []byte) []byte {
	b = appendNil(b)
	return appendArray(b, 2)
}

// appendResultEnd appends the rest of a result, which is an empty map.
func appendResultEnd(b []byte) []byte { return appendMap(b, 0) }

// appendError appends the error code and the header of the details. The caller appends that many details.
func appendError(b []byte, code string, details int) []byte {
	b = appendArray(b, 2)
	b = appendString(b, code)
	return appendMap(b, details)
}

func appendDetail(b []byte, name, value string) []byte {
	b = appendString(b, name)
	return appendString(b, value)
}

// appendRejection appends the error of a rejected request with its advice on retries.
func appendRejection(b []byte, answer server.Answer) []byte {
	retryAfterMillis := answer.RetryAfter.Milliseconds()
	details := 0
	if retryAfterMillis > 0 {
		details++
	}
	if answer.NoRetryElsewhere {
		details++
	}
	b = appendError(b, codeOverloaded, details)
	if retryAfterMillis > 0 {
		b = appendDetail(b, detailRetryAfter, strconv.FormatInt(retryAfterMillis, 10))
	}
	if answer.NoRetryElsewhere {
		b = appendDetail(b, detailNoRetryElsewhere, "1")
	}
	return b
}

// encodeClosing returns the notification that asks the client to send no new request on the connection.
func encodeClosing() []byte {
	b := appendArray(nil, notificationElements)
	b = append(b, byte(kindNotification))
	b = appendString(b, methodClosing)
	return appendArray(b, 0)
}

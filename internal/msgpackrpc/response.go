package msgpackrpc

import (
	"slices"
	"strconv"

	"falldeal/internal/server"
)

// The names of errors in a response.
const (
	codeOverloaded = "Overloaded"
	codeInternal   = "Internal"
	codeInvalid    = "Invalid"
)

// The names of an error's details. The values are strings.
const (
	detailRetryAfter       = "after" // in milliseconds
	detailNoRetryElsewhere = "last"
	detailReason           = "reason"
)

// responseOverhead is how many bytes a response takes besides the body.
const responseOverhead = 48

// encodeAnswer returns the response to a call.
func encodeAnswer(call uint32, answer server.Answer) []byte {
	b := slices.Grow([]byte(nil), responseOverhead+len(answer.Body))
	b = appendArray(b, requestParts)
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
	default: // server.Failed; an unknown kind must not look like a success
		b = appendError(b, codeInternal, 0)
	}
	return appendNil(b) // in place of a result
}

// appendResultHead appends that there is no error, and the result up to its value; appendResultEnd follows the value.
func appendResultHead(b []byte) []byte {
	b = appendNil(b)
	return appendArray(b, 2)
}

// appendResultEnd appends what follows the value of a result: an empty map.
func appendResultEnd(b []byte) []byte { return appendMap(b, 0) }

// appendError appends an error up to its details, of which that many follow.
func appendError(b []byte, code string, details int) []byte {
	b = appendArray(b, 2)
	b = appendString(b, code)
	return appendMap(b, details)
}

func appendDetail(b []byte, name, value string) []byte {
	b = appendString(b, name)
	return appendString(b, value)
}

// appendRejection appends the error of a rejected request, with the advice on retries.
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

// encodeClosing returns the notification that no new request should come on the connection.
func encodeClosing() []byte {
	b := appendArray(nil, notificationParts)
	b = append(b, byte(kindNotification))
	b = appendString(b, methodClosing)
	return appendArray(b, 0)
}

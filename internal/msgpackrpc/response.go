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

// responseOverhead is how many bytes a response takes besides the body.
const responseOverhead = 48

// encodeAnswer returns the response to a call.
func encodeAnswer(call uint32, answer server.Answer) []byte {
	b := slices.Grow([]byte(nil), responseOverhead+len(answer.Body))
	b = appendUint(append(appendArray(b, requestParts), byte(kindResponse)), call)
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
	default: // server.Failed; an unknown kind must not look like a success
		b = appendMap(appendString(appendArray(b, 2), codeInternal), 0)
		return appendNil(b)
	}
}

// appendRejection appends the error of a rejected request, with the advice on retries.
func appendRejection(b []byte, answer server.Answer) []byte {
	retryAfterMillis := answer.RetryAfter.Milliseconds()
	detailCount := 0
	if retryAfterMillis > 0 {
		detailCount++
	}
	if answer.NoRetryElsewhere {
		detailCount++
	}
	b = appendMap(appendString(appendArray(b, 2), codeOverloaded), detailCount)
	if retryAfterMillis > 0 {
		b = appendString(appendString(b, "after"), strconv.FormatInt(retryAfterMillis, 10))
	}
	if answer.NoRetryElsewhere {
		b = appendString(appendString(b, "last"), "1")
	}
	return b
}

// encodeClosing returns the notification that no new request should come on the connection.
func encodeClosing() []byte {
	b := append(appendArray(nil, notificationParts), byte(kindNotification))
	return appendArray(appendString(b, methodClosing), 0)
}

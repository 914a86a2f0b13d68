package msgpackrpc

import (
	"fmt"
	"math"
	"time"

	"falldeal/internal/server"
)

// Limits of the fields of a request.
const (
	requestIDDigits         = 16                           // exact number of hex digits
	maxArrivedAt            = (1 << 42) * time.Millisecond // since the Unix epoch; reaches to the year 2109
	maxTimeout              = time.Hour
	maxClient               = math.MaxInt32
	costLimitMillis         = 1e6  // milliseconds, exclusive
	memoryLimitKB           = 2000 // KB, exclusive
	rankLimit               = 1    // exclusive
	maxIdempotencyKeyDigits = 64
	maxKeyLength            = 128 // bytes of a subject, a tenant or a cached method
)

// maxCachedMethods is how many method names a connection caches. A configuration has only a few classes.
const maxCachedMethods = 16

// methodCache holds the method names received on a connection, so that a known name needs no new allocation.
type methodCache []string

// intern returns method as a string, from the cache if possible.
func (c *methodCache) intern(method []byte) string {
	for _, known := range *c {
		if known == string(method) {
			return known
		}
	}
	name := string(method)
	if len(*c) < maxCachedMethods && len(name) <= maxKeyLength {
		*c = append(*c, name)
	}
	return name
}

// parseRequest parses a request. Its errors are fieldErrors. The returned attempt does not refer to the frame.
func parseRequest(msg message, methods *methodCache) (server.Attempt, error) {
	attempt := server.Attempt{Class: methods.intern(msg.method)}
	switch {
	case attempt.Class == "":
		return attempt, &fieldError{part: partMethod, problem: "want a string"}
	case msg.paramCount != 2:
		return attempt, &fieldError{part: partParameters, problem: "want [FIELDS, BODY]"}
	}
	params := readFields(&msg.params)
	if params.err != nil {
		return attempt, params.err
	}
	params.readInto(&attempt)
	if params.err != nil {
		return attempt, params.err
	}
	body, ok := msg.params.bytes(valueBinary)
	if !ok || len(body) > maxBody {
		problem := fmt.Sprintf("want up to %d bytes of type bin", maxBody)
		return attempt, &fieldError{part: partBody, problem: problem}
	}
	attempt.Body = append(make([]byte, 0, len(body)), body...)
	return attempt, nil
}

// readInto copies the fields into attempt. If several fields are invalid, the error of the first in this order is reported.
func (f *fields) readInto(attempt *server.Attempt) {
	attempt.ID = f.hex(fieldID, requestIDDigits, requestIDDigits)
	attempt.ArrivedAt = f.milliseconds(fieldArrivedAt, maxArrivedAt)
	if f.has(fieldTimeout) {
		attempt.Timeout = f.milliseconds(fieldTimeout, maxTimeout)
	}
	attempt.Client = int(f.integer(fieldClient, 0, maxClient))
	attempt.CostHint = time.Duration(f.decimal(fieldCostHint, costLimitMillis) * float64(time.Millisecond))
	attempt.MemoryKB = f.decimal(fieldMemoryKB, memoryLimitKB)
	if attempt.MemoryKB == 0 {
		f.fail(fieldMemoryKB, "a number above 0")
	}
	attempt.Rank = f.decimal(fieldRank, rankLimit)
	if f.has(fieldIdempotencyKey) {
		attempt.IdempotencyKey = f.hex(fieldIdempotencyKey, 1, maxIdempotencyKeyDigits)
	}
	attempt.Tenant = f.text(fieldTenant, maxKeyLength)
	attempt.Retry = f.isTrue(fieldRetry)
	attempt.Subject = f.text(fieldSubject, maxKeyLength)
}

// parseHealthCheck parses a health check and reports whether it is a deep one. Its errors are fieldErrors.
func parseHealthCheck(msg message) (deep bool, err error) {
	if msg.paramCount != 1 {
		return false, &fieldError{part: partParameters, problem: "want [FIELDS]"}
	}
	params := readFields(&msg.params)
	return params.isTrue(fieldDeep), params.err
}

// parseCancel returns the call that a client cancels. It returns ok = false for any other notification.
func parseCancel(msg message) (call uint32, ok bool) {
	if string(msg.method) != methodCancel || msg.paramCount != 1 {
		return 0, false
	}
	return msg.params.uint32()
}

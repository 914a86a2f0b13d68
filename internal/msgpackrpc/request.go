package msgpackrpc

import (
	"fmt"
	"math"
	"time"

	"falldeal/internal/server"
)

// Bounds of the fields of a request.
const (
	requestIDDigits         = 16
	maxArrivedAt            = (1 << 42) * time.Millisecond // on the Unix clock; in the year 2109
	maxTimeout              = time.Hour
	maxClient               = math.MaxInt32
	costLimitMillis         = 1e6  // a cost is below it
	memoryLimitKB           = 2000 // a request's memory is below it
	rankLimit               = 1    // a rank is below it
	maxIdempotencyKeyDigits = 64
	maxKeyLength            = 128 // bytes of a subject or tenant
)

// maxCachedMethods is how many methods a connection keeps; a site has a few classes.
const maxCachedMethods = 16

// methodCache keeps the methods that came on a connection, so that a known one takes no memory again.
type methodCache []string

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

// parseRequest reads a request; its errors are fieldErrors. Nothing in the attempt refers to the frame.
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

// readInto sets what the fields say about an attempt. Of several errors the first in this order is reported.
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

// parseHealthCheck reads a health check, and whether it is a deep one; its errors are fieldErrors.
func parseHealthCheck(msg message) (deep bool, err error) {
	if msg.paramCount != 1 {
		return false, &fieldError{part: partParameters, problem: "want [FIELDS]"}
	}
	params := readFields(&msg.params)
	return params.isTrue(fieldDeep), params.err
}

// parseCancel reads which call a client cancels; ok is false for any other notification.
func parseCancel(msg message) (call uint32, ok bool) {
	if string(msg.method) != methodCancel || msg.paramCount != 1 {
		return 0, false
	}
	return msg.params.uint32()
}

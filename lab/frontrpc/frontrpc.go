// Package frontrpc encodes and decodes the messages between front ends and image servers (MessagePack-RPC) for load
// generators. It uses a MessagePack library instead of the server's codec, so that each codec checks the other.
package frontrpc

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Types of messages and their numbers of elements.
const (
	// Types of messages.
	RequestType      = 0
	ResponseType     = 1
	notificationType = 2

	// Numbers of elements of messages.
	NotificationParts = 3
	ResponseParts     = 4
)

// ErrorOverloaded is the name of the error that rejects a request.
const ErrorOverloaded = "Overloaded"

// Names on the wire of the fields of requests.
const (
	fieldID             = "id"
	fieldClient         = "from"
	fieldMemoryKB       = "kb"
	fieldRank           = "rank"
	fieldSentAt         = "at"
	fieldTimeout        = "wait"
	fieldCostHint       = "cost"
	fieldIdempotencyKey = "once"
	fieldSubject        = "key"
)

// Request is a request of a front end. It carries either an idempotency key or a subject.
type Request struct {
	Class          string
	ID             string
	Client         int     // number of the front end
	MemoryKB       float64 // declared memory demand
	Rank           float64 // from 0 to 1; orders requests with equal value per work
	SentAt         time.Time
	Timeout        time.Duration
	CostHint       time.Duration // declared processor time
	IdempotencyKey string        // "" = none; Subject is sent instead
	Subject        string        // identifies the object that the request reads
	Body           []byte
}

// Encode writes the request with the given call number.
func (r *Request) Encode(encoder *msgpack.Encoder, call uint32) error {
	err := encoder.Encode([]any{RequestType, call, r.Class, []any{r.fields(), r.Body}})
	if err != nil {
		return fmt.Errorf("encode request %s: %w", r.ID, err)
	}
	return nil
}

// EncodeCancel writes the notification that the answer to the request with the given call number is no longer needed.
func EncodeCancel(encoder *msgpack.Encoder, call uint32) error {
	if err := encoder.Encode([]any{notificationType, "cancelRequest", []any{call}}); err != nil {
		return fmt.Errorf("encode cancellation of call %d: %w", call, err)
	}
	return nil
}

func (r *Request) fields() map[string]string {
	fields := map[string]string{
		fieldID:       r.ID,
		fieldClient:   strconv.Itoa(r.Client),
		fieldMemoryKB: strconv.FormatFloat(r.MemoryKB, 'f', 1, 64),
		fieldRank:     formatRank(r.Rank),
		fieldSentAt:   strconv.FormatInt(r.SentAt.UnixMilli(), 10),
		fieldTimeout:  strconv.FormatInt(r.Timeout.Milliseconds(), 10),
		fieldCostHint: formatMillis(r.CostHint),
	}
	if r.IdempotencyKey != "" {
		fields[fieldIdempotencyKey] = r.IdempotencyKey
	} else {
		fields[fieldSubject] = r.Subject
	}
	return fields
}

// formatRank formats a rank with four digits. It rounds down, because the server rejects a rank of 1.
func formatRank(rank float64) string {
	const steps = 1e4
	return strconv.FormatFloat(math.Floor(rank*steps)/steps, 'f', 4, 64)
}

func formatMillis(duration time.Duration) string {
	return strconv.FormatFloat(float64(duration)/float64(time.Millisecond), 'f', 2, 64)
}

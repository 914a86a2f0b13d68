package load

import (
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"falldeal/lab/frontrpc"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	subjectKeys     = 1000 // distinct subjects of requests without an idempotency key
	requestMemoryKB = 4    // memory demand that each request declares
	requestRank     = 0.5  // of all requests; a rank orders requests with equal value per work
)

// attemptIDs is the ID of the last request of this process. It starts at the time of the process start, so that two
// processes do not send the same IDs to one server.
var attemptIDs atomic.Uint64

func init() { attemptIDs.Store(uint64(time.Now().UnixNano())) }

// writeRequest writes the request of a client with the given call number.
func (p *Plan) writeRequest(encoder *msgpack.Encoder, client int, call uint32) error {
	class := p.Classes[int(call)%len(p.Classes)]
	id := attemptIDs.Add(1)
	message := frontrpc.Request{
		Class:    class,
		ID:       fmt.Sprintf("%016x", id),
		Client:   client,
		MemoryKB: requestMemoryKB,
		Rank:     requestRank,
		SentAt:   time.Now(),
		Timeout:  p.Timeout,
		CostHint: p.CostHint,
		Body:     make([]byte, p.BodyBytes),
	}
	if slices.Contains(p.IdempotentClasses, class) {
		message.IdempotencyKey = fmt.Sprintf("%032x", id)
	} else {
		message.Subject = fmt.Sprintf("%016x", id%subjectKeys)
	}
	if err := message.Encode(encoder, call); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	return nil
}

// outcome is the result of a request.
type outcome uint8

const (
	outcomeServed outcome = iota
	outcomeRejected
	outcomeFailed
)

// errUnexpectedAnswer reports a message that is not a valid response to the call.
var errUnexpectedAnswer = errors.New("not the answer to the call")

// readAnswer reads the response to a call.
func readAnswer(decoder *msgpack.Decoder, call uint32) (outcome, error) {
	if err := readResponseHeader(decoder, call); err != nil {
		return outcomeFailed, err
	}
	failure, err := decoder.DecodeInterface()
	if err != nil {
		return outcomeFailed, fmt.Errorf("decode the response's error: %w", err)
	}
	if _, err := decoder.DecodeInterface(); err != nil {
		return outcomeFailed, fmt.Errorf("decode the response's result: %w", err)
	}
	if failure == nil {
		return outcomeServed, nil
	}
	parsed, ok := frontrpc.ParseFailure(failure)
	if !ok {
		return outcomeFailed, fmt.Errorf("%w: error %.80v", errUnexpectedAnswer, failure)
	}
	if parsed.Name == frontrpc.ErrorOverloaded {
		return outcomeRejected, nil
	}
	return outcomeFailed, nil
}

// readResponseHeader reads the part of a response before its error and result, and checks that it belongs to the
// call.
func readResponseHeader(decoder *msgpack.Decoder, call uint32) error {
	parts, err := decoder.DecodeArrayLen()
	if err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	kind, err := decoder.DecodeInt()
	if err != nil {
		return fmt.Errorf("decode message type: %w", err)
	}
	id, err := decoder.DecodeUint32()
	if err != nil {
		return fmt.Errorf("decode call number: %w", err)
	}
	if parts != frontrpc.ResponseParts || kind != frontrpc.ResponseType || id != call {
		return fmt.Errorf("%w: %d elements, type %d, call number %d", errUnexpectedAnswer, parts, kind, id)
	}
	return nil
}

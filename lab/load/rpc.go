package load

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	requestType     = 0 // of a MessagePack-RPC message
	responseType    = 1
	responseParts   = 4 // elements of a response
	errorOverloaded = "Overloaded"

	subjectKeys = 1000 // different keys of requests without an idempotency key
)

// attemptIDs numbers requests, unique within a process. It starts at another number in each, so that the requests of two
// processes to one server do not share identifiers.
var attemptIDs atomic.Uint64

func init() { attemptIDs.Store(uint64(time.Now().UnixNano())) }

func (p *Plan) writeRequest(encoder *msgpack.Encoder, client int, call uint32) error {
	class := p.Classes[int(call)%len(p.Classes)]
	id := attemptIDs.Add(1)
	fields := map[string]string{
		"id":   fmt.Sprintf("%016x", id),
		"from": strconv.Itoa(client),
		"kb":   "4.0",
		"rank": "0.5",
		"at":   strconv.FormatInt(time.Now().UnixMilli(), 10),
		"wait": strconv.FormatInt(p.Timeout.Milliseconds(), 10),
		"cost": strconv.FormatFloat(float64(p.CostHint)/float64(time.Millisecond), 'f', 2, 64),
	}
	if slices.Contains(p.KeyedClasses, class) {
		fields["once"] = fmt.Sprintf("%032x", id)
	} else {
		fields["key"] = fmt.Sprintf("%016x", id%subjectKeys)
	}
	return encoder.Encode([]any{requestType, call, class, []any{fields, make([]byte, p.BodyBytes)}})
}

// outcome is how a request ended.
type outcome uint8

const (
	outcomeServed outcome = iota
	outcomeRejected
	outcomeFailed
)

func (o outcome) String() string {
	switch o {
	case outcomeServed:
		return "served"
	case outcomeRejected:
		return "rejected"
	case outcomeFailed:
		return "failed"
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// errUnexpectedAnswer reports a message that is not the response to the call.
var errUnexpectedAnswer = errors.New("not the answer to the call")

// readAnswer reads the response to a call.
func readAnswer(decoder *msgpack.Decoder, call uint32) (outcome, error) {
	if err := readResponseHeader(decoder, call); err != nil {
		return outcomeFailed, err
	}
	failure, err := decoder.DecodeInterface()
	if err != nil {
		return outcomeFailed, err
	}
	if _, err := decoder.DecodeInterface(); err != nil { // the result
		return outcomeFailed, err
	}
	if failure == nil {
		return outcomeServed, nil
	}
	list, ok := failure.([]any)
	if !ok || len(list) == 0 {
		return outcomeFailed, fmt.Errorf("%w: error %.80v", errUnexpectedAnswer, failure)
	}
	if list[0] == errorOverloaded {
		return outcomeRejected, nil
	}
	return outcomeFailed, nil
}

// readResponseHeader reads what comes before a response's error and result, and checks that it belongs to the call.
func readResponseHeader(decoder *msgpack.Decoder, call uint32) error {
	parts, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	kind, err := decoder.DecodeInt()
	if err != nil {
		return err
	}
	id, err := decoder.DecodeUint32()
	if err != nil {
		return err
	}
	if parts != responseParts || kind != responseType || id != call {
		return fmt.Errorf("%w: %d parts, kind %d, id %d", errUnexpectedAnswer, parts, kind, id)
	}
	return nil
}

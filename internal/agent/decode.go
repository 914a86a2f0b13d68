package agent

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"falldeal/internal/jsonlines"

	"github.com/valyala/fastjson"
)

// Names of notifications on the wire.
const (
	nameHandshake        = "greeting"
	nameRunOutcome       = "outcome"
	nameCallRequest      = "request"
	nameGaugeSample      = "sampled"
	nameDeepCheckOutcome = "exercised"
	nameCommandRejection = "refusal"
	nameRemark           = "aside"
)

// Names of fields on the wire.
const (
	fieldKind    = "cmd"
	fieldOffset  = "offset"
	fieldRequest = "req"
	fieldResult  = "result"
	fieldElapsed = "elapsed_ms"
	fieldPayload = "payload"
	fieldToken   = "token"
	fieldLoad    = "load"
)

// maxElapsedMilliseconds is about three years, which a time.Duration can hold.
const maxElapsedMilliseconds = 1e11

func newParser() *jsonlines.Parser[Notification] { return jsonlines.NewParser(decodeNotification) }

// decodeNotification decodes and validates one notification. Its errors name the invalid field or notification.
func decodeNotification(object *fastjson.Value) (Notification, error) {
	elapsed, err := decodeElapsed(object)
	if err != nil {
		return nil, err
	}
	switch name := object.GetStringBytes(fieldKind); string(name) {
	case nameHandshake:
		return decodeHandshake(object, elapsed)
	case nameRunOutcome:
		return decodeRunOutcome(object)
	case nameCallRequest:
		return decodeCallRequest(object)
	case nameGaugeSample:
		return rawSample{sequence: decodeSequence(object), values: decodeValues(object)}, nil
	case nameDeepCheckOutcome:
		return decodeDeepCheckOutcome(object), nil
	case nameCommandRejection:
		return decodeCommandRejection(object), nil
	case nameRemark:
		return decodeRemark(object)
	default:
		return nil, fmt.Errorf(fieldKind+": unknown notification %.40q", name)
	}
}

// decodeElapsed decodes a time that any notification may carry. Only that of a handshake is used: it is the agent's age.
func decodeElapsed(object *fastjson.Value) (time.Duration, error) {
	milliseconds := object.GetFloat64(fieldElapsed)
	if math.IsNaN(milliseconds) || milliseconds < 0 || milliseconds > maxElapsedMilliseconds {
		return 0, fmt.Errorf(fieldElapsed+": got %v, want 0 to %g", milliseconds, maxElapsedMilliseconds)
	}
	return time.Duration(milliseconds * float64(time.Millisecond)), nil
}

func decodeHandshake(object *fastjson.Value, age time.Duration) (Notification, error) {
	switch name := object.GetStringBytes(fieldResult); string(name) {
	case "booting":
		return Handshake{State: Booting, Age: age}, nil
	case "steady":
		return Handshake{State: Steady, Age: age}, nil
	default:
		return nil, fmt.Errorf(nameHandshake+": unknown state %.40q", name)
	}
}

func decodeRunOutcome(object *fastjson.Value) (Notification, error) {
	if err := checkRunEvent(object, nameRunOutcome); err != nil {
		return nil, err
	}
	result, err := decodeRunResult(object)
	if err != nil {
		return nil, err
	}
	payload, err := decodePayload(object)
	if err != nil {
		return nil, err
	}
	return RunOutcome{
		Offset:    object.GetInt64(fieldOffset),
		RequestID: jsonlines.Text(object, fieldRequest),
		Result:    result,
		Payload:   payload,
	}, nil
}

func decodeRunResult(object *fastjson.Value) (RunResult, error) {
	switch name := object.GetStringBytes(fieldResult); string(name) {
	case "success":
		return RunSucceeded, nil
	case "failure":
		return RunFailed, nil
	case "interrupted":
		return RunInterrupted, nil
	case "nothing":
		return RunNotStarted, nil
	default:
		return RunFailed, fmt.Errorf(nameRunOutcome+": unknown result %.40q", name)
	}
}

func decodeCallRequest(object *fastjson.Value) (Notification, error) {
	if err := checkRunEvent(object, nameCallRequest); err != nil {
		return nil, err
	}
	payload, err := decodePayload(object)
	if err != nil {
		return nil, err
	}
	return CallRequest{
		Offset:    object.GetInt64(fieldOffset),
		RequestID: jsonlines.Text(object, fieldRequest),
		Payload:   payload,
	}, nil
}

func decodePayload(object *fastjson.Value) ([]byte, error) {
	return jsonlines.Base64(object, fieldPayload) //nolint:wrapcheck // the error names the field
}

// checkRunEvent checks that a notification about a run has an offset and a request ID.
func checkRunEvent(object *fastjson.Value, name string) error {
	offset, requestID := object.GetInt64(fieldOffset), object.GetStringBytes(fieldRequest)
	if offset <= 0 || len(requestID) == 0 {
		return fmt.Errorf("%s: got offset %d and req %.40q, want an offset above 0 and a req", name, offset, requestID)
	}
	return nil
}

// decodeDeepCheckOutcome treats every result except "success" as a failure.
func decodeDeepCheckOutcome(object *fastjson.Value) DeepCheckOutcome {
	return DeepCheckOutcome{
		Token:     jsonlines.Text(object, fieldToken),
		Succeeded: string(object.GetStringBytes(fieldResult)) == "success",
	}
}

func decodeCommandRejection(object *fastjson.Value) CommandRejection {
	return CommandRejection{
		RequestID: jsonlines.Text(object, fieldRequest),
		Command:   commandNamed(object.GetStringBytes(fieldResult)),
	}
}

func decodeRemark(object *fastjson.Value) (Notification, error) {
	offset := object.GetInt64(fieldOffset)
	if offset < 0 {
		return nil, fmt.Errorf(nameRemark+": negative offset %d", offset)
	}
	return Remark{Offset: offset}, nil
}

// decodeSequence returns the sequence number of the sample that is answered, or unknownSample if the token is not a number.
func decodeSequence(object *fastjson.Value) int64 {
	sequence, err := strconv.ParseInt(string(object.GetStringBytes(fieldToken)), 10, 64)
	if err != nil {
		return unknownSample
	}
	return sequence
}

// decodeValues returns the values of the gauges. A value that is not a number becomes UnknownGauge.
func decodeValues(object *fastjson.Value) []float64 {
	gauges := object.GetArray(fieldLoad)
	if len(gauges) == 0 {
		return nil
	}
	values := make([]float64, len(gauges))
	for i, gauge := range gauges {
		value, err := gauge.Float64()
		if err != nil || math.IsNaN(value) {
			value = UnknownGauge
		}
		values[i] = value
	}
	return values
}

package agent

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"falldeal/internal/jsonlines"

	"github.com/valyala/fastjson"
)

// The names of notifications in the protocol.
const (
	nameHandshake        = "greeting"
	nameRunOutcome       = "outcome"
	nameCallRequest      = "request"
	nameGaugeSample      = "sampled"
	nameDeepCheckOutcome = "exercised"
	nameCommandRejection = "refusal"
	nameRemark           = "aside"
)

// The fields of notifications in the protocol.
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

// maxElapsedMilliseconds is some three years, well within a time.Duration.
const maxElapsedMilliseconds = 1e11

func newParser() *jsonlines.Parser[Notification] { return jsonlines.NewParser(decodeNotification) }

// decodeNotification checks the object of a line. Its errors name the field, or the notification, that is wrong.
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
		return sampleAnswer{sequence: decodeSequence(object), values: decodeValues(object)}, nil
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

func decodeElapsed(object *fastjson.Value) (time.Duration, error) {
	milliseconds := object.GetFloat64(fieldElapsed)
	if math.IsNaN(milliseconds) || milliseconds < 0 || milliseconds > maxElapsedMilliseconds {
		return 0, fmt.Errorf(fieldElapsed+": %v", milliseconds)
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
	return jsonlines.Base64(object, fieldPayload) //nolint:wrapcheck // it names the field
}

// checkRunEvent checks that a notification about a run has its place in the sequence and says which request it is about.
func checkRunEvent(object *fastjson.Value, name string) error {
	if object.GetInt64(fieldOffset) <= 0 || len(object.GetStringBytes(fieldRequest)) == 0 {
		return fmt.Errorf("%s: want an offset and a req", name)
	}
	return nil
}

// decodeDeepCheckOutcome takes any result but success for a failure.
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
		return nil, errors.New(nameRemark + ": negative offset")
	}
	return Remark{Offset: offset}, nil
}

func decodeSequence(object *fastjson.Value) int64 {
	sequence, err := strconv.ParseInt(string(object.GetStringBytes(fieldToken)), 10, 64)
	if err != nil {
		return unknownSample
	}
	return sequence
}

// decodeValues reads the values of the gauges. One that is no number is not known.
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

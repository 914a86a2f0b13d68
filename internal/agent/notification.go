package agent

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"falldeal/internal/jsonlines"

	"github.com/valyala/fastjson"
)

// Kind tells notifications apart, in the words of the protocol.
type Kind string

// The kinds of Notification.
const (
	Handshake       Kind = "greeting"  // first on each connection
	Outcome         Kind = "outcome"   // a run has ended
	CallRequest     Kind = "request"   // a run waits for a call
	Gauges          Kind = "sampled"   // answers a sample
	DeepCheckDone   Kind = "exercised" // the work of a deep health check has ended
	CommandRejected Kind = "refusal"   // a command was not carried out
	Aside           Kind = "aside"     // of no consequence
)

// The results of an Outcome or DeepCheckDone, and the states in a Handshake.
const (
	Success     = "success"
	Failure     = "failure"
	Interrupted = "interrupted"
	Nothing     = "nothing"
	Booting     = "booting"
	Steady      = "steady"
)

// unknownGauge stands for a gauge without a number.
const unknownGauge = -1

// maxElapsedMilliseconds is some three years, well within a time.Duration.
const maxElapsedMilliseconds = 1e11

// Notification is one line from the agent. Only the fields that its kind has are set.
type Notification struct {
	Kind      Kind
	Offset    int64  // Outcome, CallRequest, Aside: numbers them without a gap, from 1
	RequestID string // Outcome, CallRequest, CommandRejected
	Result    string
	Elapsed   time.Duration // Handshake: age of the agent; otherwise how long a run or check took
	Payload   []byte        // Outcome, CallRequest
	Token     string        // Gauges, DeepCheckDone: that of the command
	Load      []float64     // Gauges; negative where not known
}

// isNumbered reports whether the notification counts in the sequence of offsets.
func (n *Notification) isNumbered() bool {
	return n.Offset > 0 && (n.Kind == Outcome || n.Kind == CallRequest || n.Kind == Aside)
}

func newParser() *jsonlines.Parser[Notification] { return jsonlines.NewParser(decodeNotification) }

func decodeNotification(object *fastjson.Value) (Notification, error) {
	elapsed, err := decodeElapsed(object)
	if err != nil {
		return Notification{}, err
	}
	notification := Notification{
		Kind:      Kind(jsonlines.Text(object, "cmd")),
		Offset:    object.GetInt64("offset"),
		RequestID: jsonlines.Text(object, "req"),
		Result:    jsonlines.Text(object, "result"),
		Elapsed:   elapsed,
		Token:     jsonlines.Text(object, "token"),
	}
	switch notification.Kind {
	case Outcome, CallRequest:
		err = decodeRunEvent(object, &notification)
	case Handshake:
		if notification.Result != Booting && notification.Result != Steady {
			err = fmt.Errorf("greeting: unknown state %.40q", notification.Result)
		}
	case Gauges:
		notification.Load = decodeLoad(object)
	case DeepCheckDone, CommandRejected: // nothing more to read
	case Aside:
		if notification.Offset < 0 {
			err = errors.New("aside: negative offset")
		}
	default:
		err = fmt.Errorf("unknown notice %.40q", string(notification.Kind))
	}
	return notification, err
}

func decodeElapsed(object *fastjson.Value) (time.Duration, error) {
	milliseconds := object.GetFloat64("elapsed_ms")
	if math.IsNaN(milliseconds) || milliseconds < 0 || milliseconds > maxElapsedMilliseconds {
		return 0, fmt.Errorf("elapsed_ms: %v", milliseconds)
	}
	return time.Duration(milliseconds * float64(time.Millisecond)), nil
}

// decodeRunEvent checks an Outcome or CallRequest, and reads its payload.
func decodeRunEvent(object *fastjson.Value, notification *Notification) (err error) {
	if notification.Offset <= 0 || notification.RequestID == "" {
		return fmt.Errorf("%s: want an offset and a req", notification.Kind)
	}
	results := [...]string{Success, Failure, Interrupted, Nothing}
	if notification.Kind == Outcome && !slices.Contains(results[:], notification.Result) {
		return fmt.Errorf("outcome: unknown result %.40q", notification.Result)
	}
	notification.Payload, err = jsonlines.Base64(object, "payload")
	return err
}

func decodeLoad(object *fastjson.Value) (load []float64) {
	for _, gauge := range object.GetArray("load") {
		value, err := gauge.Float64()
		if err != nil || math.IsNaN(value) {
			value = unknownGauge
		}
		load = append(load, value)
	}
	return load
}

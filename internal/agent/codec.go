package agent

import (
	"encoding/base64"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fastjson"
)

// Kind tells notices apart.
type Kind string

// The kinds of Notice.
const (
	Handshake       Kind = "greeting"
	Outcome         Kind = "outcome"   // a run is over
	CallRequest     Kind = "request"   // a run waits for a call
	Gauges          Kind = "sampled"   // the gauges
	DeepCheckDone   Kind = "exercised" // a deep health check's work is done
	CommandRejected Kind = "refusal"   // a command was not carried out
	Aside           Kind = "aside"
)

// The results of an Outcome or Exercised, and the states of a Greeting.
const (
	Success     = "success"
	Failure     = "failure"
	Interrupted = "interrupted"
	Nothing     = "nothing"
	Booting     = "booting"
	Steady      = "steady"
)

// Notification is one line from the agent; only the members of its kind are set.
type Notification struct {
	Kind      Kind
	Offset    int64
	RequestID string
	Result    string
	Elapsed   time.Duration
	Payload   []byte
	Token     string
	Load      []float64
}

// parser reads lines; it is used again for each.
type parser struct{ json fastjson.Parser }

// parse reads a line. Nothing of the Notice refers to the line.
func (p *parser) parse(line []byte) (Notification, error) {
	v, err := p.json.ParseBytes(line)
	if err != nil {
		return Notification{}, err
	}
	text := func(name string) string { return string(v.GetStringBytes(name)) }
	n := Notification{Kind: Kind(text("cmd")), Offset: v.GetInt64("offset"), RequestID: text("req"), Result: text("result"),
		Token: text("token")}
	ms := v.GetFloat64("elapsed_ms")
	if math.IsNaN(ms) || ms < 0 || ms > 1e11 {
		return n, fmt.Errorf("elapsed_ms: %v", ms)
	}
	n.Elapsed = time.Duration(ms * float64(time.Millisecond))
	switch n.Kind {
	case Outcome, CallRequest:
		if n.Offset <= 0 || n.RequestID == "" {
			return n, fmt.Errorf("%s: want an offset and a req", n.Kind)
		}
		if n.Kind == Outcome && !slices.Contains([]string{Success, Failure, Interrupted, Nothing}, n.Result) {
			return n, fmt.Errorf("outcome: unknown result %.40q", n.Result)
		}
		n.Payload, err = base64.StdEncoding.AppendDecode(nil, v.GetStringBytes("payload"))
		if err != nil {
			return n, fmt.Errorf("payload: %w", err)
		}
	case Handshake:
		if n.Result != Booting && n.Result != Steady {
			return n, fmt.Errorf("greeting: unknown state %.40q", n.Result)
		}
	case Gauges:
		for _, g := range v.GetArray("load") {
			f, err := g.Float64()
			if err != nil || math.IsNaN(f) {
				f = -1 // not known
			}
			n.Load = append(n.Load, f)
		}
	case DeepCheckDone, CommandRejected:
	case Aside:
		if n.Offset < 0 {
			return n, errors.New("aside: negative offset")
		}
	default:
		return n, fmt.Errorf("unknown notice %.40q", string(n.Kind))
	}
	return n, nil
}

// Commands are built by appending to a line. Ids are hex digits and tokens are our own, so neither
// needs an escape.

func encodeSubscribe(offset int64) []byte {
	return append(strconv.AppendInt([]byte(`{"cmd":"subscribe","offset":`), offset, 10), "}\n"...)
}

func encodeLaunch(req, class string, payload []byte) []byte {
	var a fastjson.Arena
	b := append([]byte(`{"cmd":"launch","req":"`), req...)
	b = a.NewString(class).MarshalTo(append(b, `","method":`...))
	return appendPayload(b, payload)
}

func encodeReply(req string, payload []byte) []byte {
	b := append([]byte(`{"cmd":"deliver","req":"`), req...)
	return appendPayload(append(b, '"'), payload)
}

func appendPayload(b, payload []byte) []byte {
	b = base64.StdEncoding.AppendEncode(append(b, `,"payload":"`...), payload)
	return append(b, "\"}\n"...)
}

func encodeSkipCall(req string, offset int64) []byte {
	b := append([]byte(`{"cmd":"forgo","req":"`), req...)
	return append(strconv.AppendInt(append(b, `","offset":`...), offset, 10), "}\n"...)
}

func encodeWithToken(cmd, token string) []byte {
	return []byte(`{"cmd":"` + cmd + `","token":"` + token + "\"}\n")
}

// Package wire translates between the lines of the simulator's pipe and the types of package decide.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"falldeal/admission"
)

// Kind tells what a message asks of the host.
type Kind uint8

// The kinds of Message.
const (
	Create Kind = iota // a node starts: Seed and Conf are set
	Retire             // a node has died
	Happen             // Event is set
)

// Message is one line of a batch.
type Message struct {
	Kind  Kind
	Node  int
	Line  int // in the input, from 1
	Seed  uint64
	Conf  []byte
	Event admission.Event
}

// Batch is what came in at one time.
type Batch struct {
	Now      time.Duration
	Messages []Message
}

// Reader reads batches.
type Reader struct {
	in   *bufio.Reader
	line int
	long []byte
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, 1<<16)} }

// next returns the next line, valid until the following call.
func (r *Reader) next() ([]byte, error) {
	r.long = r.long[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		if err == nil && len(r.long) == 0 {
			r.line++
			return bytes.TrimSuffix(part[:len(part)-1], []byte("\r")), nil
		}
		r.long = append(r.long, part...)
		switch {
		case err == nil:
			r.line++
			return bytes.TrimSuffix(r.long[:len(r.long)-1], []byte("\r")), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(r.long) > 0:
			return nil, fmt.Errorf("line %d: cut short", r.line+1)
		default:
			return nil, err
		}
	}
}

// Read reads a batch into b, whose memory it uses again. At the end of input between two batches
// it returns io.EOF; any other error names the line, and the field where one is wrong.
func (r *Reader) Read(b *Batch) error {
	b.Messages = b.Messages[:0]
	text, err := r.next()
	if err != nil {
		return err
	}
	f := fields{rest: string(text)}
	if word := f.next(); word != "SYNC" {
		return fmt.Errorf("line %d: want SYNC, got %q", r.line, word)
	}
	b.Now = f.us("clock")
	if err := f.done(); err != nil {
		return fmt.Errorf("line %d: SYNC: %w", r.line, err)
	}
	for {
		text, err := r.next()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: input ends within a batch", r.line+1)
		}
		if err != nil {
			return err
		}
		if string(text) == "OVER_TO_YOU" {
			return nil
		}
		m, err := parse(string(text))
		if err != nil {
			return fmt.Errorf("line %d: %w", r.line, err)
		}
		m.Line = r.line
		b.Messages = append(b.Messages, m)
	}
}

var outcomes = map[string]admission.Outcome{
	"OK": admission.OutcomeOK, "INTERNAL": admission.OutcomeFailed, "RESOURCE_EXHAUSTED": admission.OutcomeRejected,
	"DEADLINE_EXCEEDED": admission.OutcomeTimedOut, "UNAVAILABLE": admission.OutcomeUnreachable, "ABORTED": admission.OutcomeAborted,
	"CANCELLED": admission.OutcomeCancelled, "TOO_LATE": admission.OutcomeNotStarted,
}

func parse(text string) (Message, error) {
	f := fields{rest: text}
	word := f.next()
	m := Message{Kind: Happen}
	e := &m.Event
	m.Node = int(f.whole("NodeId"))
	switch word {
	case "CREATE":
		m.Kind = Create
		m.Seed = uint64(f.whole("Seed"))
		m.Conf = []byte(f.rest)
		f.rest = ""
	case "RETIRE":
		m.Kind = Retire
	case "ORDER":
		parseOrder(&f, e)
	case "DONE":
		e.Kind, e.ID = admission.EventDone, f.id("Xid")
		e.Outcome = f.outcome("Disposition")
		e.Took = f.us("WaitTimeUs")
	case "DROPPED":
		e.Kind, e.ID = admission.EventCancelled, f.id("Xid")
	case "WANTS_CALL":
		e.Kind, e.ID = admission.EventCallNeeded, f.id("Xid")
	case "CALL_RESULT":
		e.Kind, e.ID = admission.EventCallDone, f.id("Xid")
		e.Took = f.us("WaitTimeUs")
		e.Outcome = f.outcome("Disposition")
	case "NOTICE":
		e.Kind, e.StopAt = admission.EventDrain, f.us("DeadlineUs")
	case "ELAPSED":
		e.Kind = admission.EventTimer
		f.next()
		e.Gauges = f.gauges("Feedback")
	default:
		return m, fmt.Errorf("unknown event %q", word)
	}
	if err := f.done(); err != nil {
		return m, fmt.Errorf("%s: %w", word, err)
	}
	return m, nil
}

func parseOrder(f *fields, e *admission.Event) {
	e.Kind, e.ID = admission.EventRequest, f.id("Xid")
	e.Client = int(f.whole("By"))
	e.MemoryKB = f.number("MemKb")
	e.Tenant = int(f.whole("Owner"))
	e.CostHint = f.us("PredictedUs")
	key := f.next()
	e.HasSubject = key != "-" && key != ""
	e.Retry = f.flag("Repeat")
	f.flag("Mutates")
	e.RetryOf = f.id("Forerunner")
	e.Rank = f.number("Prio")
	e.Deadline = f.us("DeadlineUs")
	e.Waited = f.us("WaitedUs")
	e.Class = int(f.whole("Kind"))
}

// fields takes a line apart and keeps the first error.
type fields struct {
	rest string
	over bool
	err  error
}

func (f *fields) next() string {
	if f.rest == "" {
		f.over = true
		return ""
	}
	word, rest, _ := strings.Cut(f.rest, " ")
	f.rest = rest
	return word
}

func (f *fields) fail(name, word, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: want %s, got %q", name, want, word)
	}
}

func (f *fields) done() error {
	if f.err == nil && f.rest != "" {
		f.err = fmt.Errorf("more fields than expected: %q", f.rest)
	}
	return f.err
}

func (f *fields) whole(name string) int64 {
	word := f.next()
	if word == "-" {
		return 0
	}
	v, err := strconv.ParseInt(word, 10, 64)
	if err != nil {
		if u, uerr := strconv.ParseUint(word, 10, 64); uerr == nil {
			return int64(u)
		}
		f.fail(name, word, "a whole number")
	}
	return v
}

func (f *fields) id(name string) admission.RequestID { return admission.RequestID(f.whole(name)) }
func (f *fields) us(name string) time.Duration       { return us(f.whole(name)) }

func (f *fields) number(name string) float64 {
	word := f.next()
	if word == "-" {
		return 0
	}
	v, err := strconv.ParseFloat(word, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(name, word, "a number")
		return 0
	}
	return v
}

func (f *fields) flag(name string) bool {
	switch word := f.next(); word {
	case "1":
		return true
	case "0", "-":
	default:
		f.fail(name, word, "1 or 0")
	}
	return false
}

func (f *fields) outcome(name string) admission.Outcome {
	word := f.next()
	o, ok := outcomes[word]
	if !ok {
		f.fail(name, word, "an ending")
	}
	return o
}

// gauges reads name:value pairs and ignores names that it does not know.
func (f *fields) gauges(name string) admission.Gauges {
	g := admission.Gauges{CPUUtilization: -1, CPUDemand: -1, MemoryUtilization: -1, Connections: -1}
	word := f.next()
	if f.over {
		f.fail(name, word, "gauges")
	}
	for pair := range strings.SplitSeq(word, ",") {
		if pair == "-" || pair == "" {
			continue
		}
		key, text, ok := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil || math.IsNaN(v) {
			f.fail(name, pair, "name:value")
			return g
		}
		switch key {
		case "core_use":
			g.CPUUtilization = v
		case "on_cores":
			g.CPUDemand = v
		case "heap_share":
			g.MemoryUtilization = v
		case "links":
			g.Connections = v
		}
	}
	return g
}

// AppendAction appends the line of an action of node.
func AppendAction(b []byte, node int, a admission.Action) []byte {
	head := func(word string) {
		b = append(append(b, word...), ' ')
		b = strconv.AppendInt(b, int64(node), 10)
	}
	num := func(v int64) { b = strconv.AppendInt(append(b, ' '), v, 10) }
	flag := func(v bool) {
		if v {
			num(1)
		} else {
			num(0)
		}
	}
	withID := func(word string) {
		head(word)
		b = strconv.AppendUint(append(b, ' '), uint64(a.ID), 10)
	}
	switch a.Kind {
	case admission.ActionRun:
		withID("SERVE")
	case admission.ActionStop:
		withID("YANK")
	case admission.ActionReject:
		withID("OVERLOAD_REPLY")
		num(a.RetryAfter.Microseconds())
		flag(a.NoRetryElsewhere)
	case admission.ActionFail:
		withID("LOSE")
	case admission.ActionCall:
		withID("ASK_BELOW")
		num(a.Timeout.Microseconds())
	case admission.ActionSkipCall:
		withID("SKIP")
	case admission.ActionRemember:
		withID("KEEP")
		num(a.Duration.Microseconds())
	case admission.ActionForget:
		withID("EVICT")
	case admission.ActionReuse:
		withID("ANSWER_FROM")
	case admission.ActionHealth:
		head("HEALTH")
		flag(a.Healthy)
		flag(a.Cached)
	case admission.ActionAdvertise:
		head("SAY")
		b = strconv.AppendFloat(append(b, ' '), a.Value, 'g', 6, 64)
	case admission.ActionIdleTimeout:
		head("IDLE_LIMIT")
		num(a.Duration.Microseconds())
	case admission.ActionWake:
		head("WAKE_ME")
		num((a.At + time.Microsecond - 1).Microseconds())
		b = append(b, " w"...)
	case admission.ActionLog:
		head("REMARK")
		b = append(append(b, ' '), oneLine(a.Text)...)
	}
	return append(b, '\n')
}

// AppendBroken appends the line that reports that node's decisions have failed.
func AppendBroken(b []byte, node int, err error) []byte {
	return append(fmt.Appendf(b, "BROKEN %d %s", node, oneLine(err.Error())), '\n')
}

func oneLine(s string) string { return strings.NewReplacer("\n", " ", "\r", " ").Replace(s) }

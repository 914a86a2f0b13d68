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

// MessageKind tells what a message asks of the host.
type MessageKind uint8

// The kinds of Message.
const (
	MessageCreate MessageKind = iota // a node starts: Seed and Conf are set
	MessageRetire                    // a node has died
	MessageEvent                     // Event is set
)

// Message is one line of a batch.
type Message struct {
	Kind     MessageKind
	Node     int
	Line     int // in the input, from 1
	Seed     uint64
	Settings []byte
	Event    admission.Event
}

// Batch is what came in at one time.
type Batch struct {
	Now      time.Duration
	Messages []Message
}

// Reader reads batches.
type Reader struct {
	in       *bufio.Reader
	line     int
	overflow []byte
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, 1<<16)} }

// nextLine returns the next line, valid until the following call.
func (r *Reader) nextLine() ([]byte, error) {
	r.overflow = r.overflow[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		if err == nil && len(r.overflow) == 0 {
			r.line++
			return bytes.TrimSuffix(part[:len(part)-1], []byte("\r")), nil
		}
		r.overflow = append(r.overflow, part...)
		switch {
		case err == nil:
			r.line++
			return bytes.TrimSuffix(r.overflow[:len(r.overflow)-1], []byte("\r")), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(r.overflow) > 0:
			return nil, fmt.Errorf("line %d: cut short", r.line+1)
		default:
			return nil, err
		}
	}
}

// Read reads a batch into b, whose memory it uses again. At the end of input between two batches
// it returns io.EOF; any other error names the line, and the field where one is wrong.
func (r *Reader) Read(batch *Batch) error {
	batch.Messages = batch.Messages[:0]
	text, err := r.nextLine()
	if err != nil {
		return err
	}
	line := fieldReader{rest: string(text)}
	if verb := line.next(); verb != "SYNC" {
		return fmt.Errorf("line %d: want SYNC, got %q", r.line, verb)
	}
	batch.Now = line.duration("clock")
	if err := line.finish(); err != nil {
		return fmt.Errorf("line %d: SYNC: %w", r.line, err)
	}
	for {
		text, err := r.nextLine()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: input ends within a batch", r.line+1)
		}
		if err != nil {
			return err
		}
		if string(text) == "OVER_TO_YOU" {
			return nil
		}
		message, err := parse(string(text))
		if err != nil {
			return fmt.Errorf("line %d: %w", r.line, err)
		}
		message.Line = r.line
		batch.Messages = append(batch.Messages, message)
	}
}

var outcomes = map[string]admission.Outcome{
	"OK": admission.OutcomeOK, "INTERNAL": admission.OutcomeFailed, "RESOURCE_EXHAUSTED": admission.OutcomeRejected,
	"DEADLINE_EXCEEDED": admission.OutcomeTimedOut, "UNAVAILABLE": admission.OutcomeUnreachable, "ABORTED": admission.OutcomeAborted,
	"CANCELLED": admission.OutcomeCancelled, "TOO_LATE": admission.OutcomeNotStarted,
}

func parse(text string) (Message, error) {
	line := fieldReader{rest: text}
	verb := line.next()
	message := Message{Kind: MessageEvent}
	event := &message.Event
	message.Node = int(line.integer("NodeId"))
	switch verb {
	case "CREATE":
		message.Kind = MessageCreate
		message.Seed = uint64(line.integer("Seed"))
		message.Settings = []byte(line.rest)
		line.rest = ""
	case "RETIRE":
		message.Kind = MessageRetire
	case "ORDER":
		parseOrder(&line, event)
	case "DONE":
		event.Kind, event.ID = admission.EventDone, line.id("Xid")
		event.Outcome = line.outcome("Disposition")
		event.Took = line.duration("WaitTimeUs")
	case "DROPPED":
		event.Kind, event.ID = admission.EventCancelled, line.id("Xid")
	case "WANTS_CALL":
		event.Kind, event.ID = admission.EventCallNeeded, line.id("Xid")
	case "CALL_RESULT":
		event.Kind, event.ID = admission.EventCallDone, line.id("Xid")
		event.Took = line.duration("WaitTimeUs")
		event.Outcome = line.outcome("Disposition")
	case "NOTICE":
		event.Kind, event.StopAt = admission.EventDrain, line.duration("DeadlineUs")
	case "ELAPSED":
		event.Kind = admission.EventTimer
		line.next()
		event.Gauges = line.gauges("Feedback")
	default:
		return message, fmt.Errorf("unknown event %q", verb)
	}
	if err := line.finish(); err != nil {
		return message, fmt.Errorf("%s: %w", verb, err)
	}
	return message, nil
}

func parseOrder(line *fieldReader, event *admission.Event) {
	event.Kind, event.ID = admission.EventRequest, line.id("Xid")
	event.Client = int(line.integer("By"))
	event.MemoryKB = line.float("MemKb")
	event.Tenant = int(line.integer("Owner"))
	event.CostHint = line.duration("PredictedUs")
	key := line.next()
	event.HasSubject = key != "-" && key != ""
	event.Retry = line.flag("Repeat")
	line.flag("Mutates")
	event.RetryOf = line.id("Forerunner")
	event.Rank = line.float("Prio")
	event.Deadline = line.duration("DeadlineUs")
	event.Waited = line.duration("WaitedUs")
	event.Class = int(line.integer("Kind"))
}

// fieldReader takes a line apart and keeps the first error.
type fieldReader struct {
	rest      string
	exhausted bool
	err       error
}

func (f *fieldReader) next() string {
	if f.rest == "" {
		f.exhausted = true
		return ""
	}
	text, rest, _ := strings.Cut(f.rest, " ")
	f.rest = rest
	return text
}

func (f *fieldReader) fail(name, got, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: want %s, got %q", name, want, got)
	}
}

func (f *fieldReader) finish() error {
	if f.err == nil && f.rest != "" {
		f.err = fmt.Errorf("more fields than expected: %q", f.rest)
	}
	return f.err
}

func (f *fieldReader) integer(name string) int64 {
	text := f.next()
	if text == "-" {
		return 0
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		if unsigned, unsignedErr := strconv.ParseUint(text, 10, 64); unsignedErr == nil {
			return int64(unsigned)
		}
		f.fail(name, text, "a whole number")
	}
	return value
}

func (f *fieldReader) id(name string) admission.RequestID {
	return admission.RequestID(f.integer(name))
}
func (f *fieldReader) duration(name string) time.Duration { return microseconds(f.integer(name)) }

func (f *fieldReader) float(name string) float64 {
	text := f.next()
	if text == "-" {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		f.fail(name, text, "a number")
		return 0
	}
	return value
}

func (f *fieldReader) flag(name string) bool {
	switch text := f.next(); text {
	case "1":
		return true
	case "0", "-":
	default:
		f.fail(name, text, "1 or 0")
	}
	return false
}

func (f *fieldReader) outcome(name string) admission.Outcome {
	text := f.next()
	outcome, ok := outcomes[text]
	if !ok {
		f.fail(name, text, "an ending")
	}
	return outcome
}

// gauges reads name:value pairs and ignores names that it does not know.
func (f *fieldReader) gauges(name string) admission.Gauges {
	gauges := admission.Gauges{CPUUtilization: -1, CPUDemand: -1, MemoryUtilization: -1, Connections: -1}
	list := f.next()
	if f.exhausted {
		f.fail(name, list, "gauges")
	}
	for pair := range strings.SplitSeq(list, ",") {
		if pair == "-" || pair == "" {
			continue
		}
		key, number, ok := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(number, 64)
		if !ok || err != nil || math.IsNaN(value) {
			f.fail(name, pair, "name:value")
			return gauges
		}
		switch key {
		case "core_use":
			gauges.CPUUtilization = value
		case "on_cores":
			gauges.CPUDemand = value
		case "heap_share":
			gauges.MemoryUtilization = value
		case "links":
			gauges.Connections = value
		}
	}
	return gauges
}

// AppendAction appends the line of an action of node.
func AppendAction(b []byte, node int, action admission.Action) []byte {
	appendVerb := func(verb string) {
		b = append(append(b, verb...), ' ')
		b = strconv.AppendInt(b, int64(node), 10)
	}
	appendInt := func(value int64) { b = strconv.AppendInt(append(b, ' '), value, 10) }
	appendFlag := func(value bool) {
		if value {
			appendInt(1)
		} else {
			appendInt(0)
		}
	}
	appendVerbAndID := func(verb string) {
		appendVerb(verb)
		b = strconv.AppendUint(append(b, ' '), uint64(action.ID), 10)
	}
	switch action.Kind {
	case admission.ActionRun:
		appendVerbAndID("SERVE")
	case admission.ActionStop:
		appendVerbAndID("YANK")
	case admission.ActionReject:
		appendVerbAndID("OVERLOAD_REPLY")
		appendInt(action.RetryAfter.Microseconds())
		appendFlag(action.NoRetryElsewhere)
	case admission.ActionFail:
		appendVerbAndID("LOSE")
	case admission.ActionCall:
		appendVerbAndID("ASK_BELOW")
		appendInt(action.Timeout.Microseconds())
	case admission.ActionSkipCall:
		appendVerbAndID("SKIP")
	case admission.ActionRemember:
		appendVerbAndID("KEEP")
		appendInt(action.Duration.Microseconds())
	case admission.ActionForget:
		appendVerbAndID("EVICT")
	case admission.ActionReuse:
		appendVerbAndID("ANSWER_FROM")
	case admission.ActionHealth:
		appendVerb("HEALTH")
		appendFlag(action.Healthy)
		appendFlag(action.Cached)
	case admission.ActionAdvertise:
		appendVerb("SAY")
		b = strconv.AppendFloat(append(b, ' '), action.Value, 'g', 6, 64)
	case admission.ActionIdleTimeout:
		appendVerb("IDLE_LIMIT")
		appendInt(action.Duration.Microseconds())
	case admission.ActionWake:
		appendVerb("WAKE_ME")
		appendInt((action.At + time.Microsecond - 1).Microseconds())
		b = append(b, " w"...)
	case admission.ActionLog:
		appendVerb("REMARK")
		b = append(append(b, ' '), oneLine(action.Text)...)
	}
	return append(b, '\n')
}

// AppendBroken appends the line that reports that node's decisions have failed.
func AppendBroken(b []byte, node int, err error) []byte {
	return append(fmt.Appendf(b, "BROKEN %d %s", node, oneLine(err.Error())), '\n')
}

func oneLine(text string) string { return strings.NewReplacer("\n", " ", "\r", " ").Replace(text) }

package wire

import (
	"fmt"

	"falldeal/admission"
)

// messageParser sets what a line holds behind its verb and node.
type messageParser func(line *fieldReader, message *Message)

// parsers has a parser for each verb of a message.
var parsers = map[string]messageParser{
	"CREATE": func(line *fieldReader, message *Message) {
		message.Kind = MessageCreate
		message.Seed = uint64(line.integer("Seed"))
		message.Settings = []byte(line.remainder())
	},
	"RETIRE": func(_ *fieldReader, message *Message) { message.Kind = MessageRetire },
	"ORDER":  eventParser(parseRequest),
	"DONE": eventParser(func(line *fieldReader, event *admission.Event) {
		event.Kind, event.ID = admission.EventDone, line.id("Xid")
		event.Outcome = line.outcome("Disposition")
		event.Took = line.duration("WaitTimeUs")
	}),
	"DROPPED": eventParser(func(line *fieldReader, event *admission.Event) {
		event.Kind, event.ID = admission.EventCancelled, line.id("Xid")
	}),
	"WANTS_CALL": eventParser(func(line *fieldReader, event *admission.Event) {
		event.Kind, event.ID = admission.EventCallNeeded, line.id("Xid")
	}),
	"CALL_RESULT": eventParser(func(line *fieldReader, event *admission.Event) {
		event.Kind, event.ID = admission.EventCallDone, line.id("Xid")
		event.Took = line.duration("WaitTimeUs")
		event.Outcome = line.outcome("Disposition")
	}),
	"NOTICE": eventParser(func(line *fieldReader, event *admission.Event) {
		event.Kind, event.StopAt = admission.EventDrain, line.duration("DeadlineUs")
	}),
	"ELAPSED": eventParser(func(line *fieldReader, event *admission.Event) {
		event.Kind = admission.EventTimer
		line.next() // the name of the timer; a node has only one
		event.Gauges = line.gauges("Feedback")
	}),
}

// eventParser returns a parser of messages that carry an event.
func eventParser(parse func(line *fieldReader, event *admission.Event)) messageParser {
	return func(line *fieldReader, message *Message) {
		message.Kind = MessageEvent
		parse(line, &message.Event)
	}
}

// parseMessage reads a line between the first and the last one of a batch.
func parseMessage(line *fieldReader, message *Message) error {
	verb := line.next()
	message.Node = int(line.integer("NodeId"))
	parse, known := parsers[verb]
	if !known {
		return fmt.Errorf("unknown event %q", verb)
	}
	parse(line, message)
	if err := line.finish(); err != nil {
		return fmt.Errorf("%s: %w", verb, err)
	}
	return nil
}

func parseRequest(line *fieldReader, event *admission.Event) {
	event.Kind, event.ID = admission.EventRequest, line.id("Xid")
	event.Client = int(line.integer("By"))
	event.MemoryKB = line.float("MemKb")
	event.Tenant = int(line.integer("Owner"))
	event.CostHint = line.duration("PredictedUs")
	key := line.next()
	event.HasSubject = key != unset && key != ""
	event.Retry = line.flag("Repeat")
	line.flag("Mutates") // checked, but not used
	event.RetryOf = line.id("Forerunner")
	event.Rank = line.float("Prio")
	event.Deadline = line.duration("DeadlineUs")
	event.Waited = line.duration("WaitedUs")
	event.Class = int(line.integer("Kind"))
}

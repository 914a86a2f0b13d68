package wire

import (
	"fmt"

	"falldeal/admission"
)

// messageParser parses the fields of a line after its verb and node.
type messageParser func(line *fieldReader, message *Message)

// parsers maps the verb of a message to its parser.
var parsers = map[string]messageParser{
	"CREATE": func(line *fieldReader, message *Message) {
		message.Kind = MessageCreate
		message.Seed = uint64(line.integer("Seed"))
		message.Settings = []byte(line.remainder())
	},
	"RETIRE": func(_ *fieldReader, message *Message) { message.Kind = MessageRetire },
	"ORDER":  eventParser(parseRequest),
	"DONE": eventParser(func(line *fieldReader) admission.Event {
		id := line.id("Xid")
		var completion admission.Completion
		completion.Outcome = line.outcome("Disposition")
		completion.Duration = line.duration("WaitTimeUs")
		return admission.RunCompleted(id, completion)
	}),
	"DROPPED": eventParser(func(line *fieldReader) admission.Event {
		return admission.RequestCancelled(line.id("Xid"))
	}),
	"WANTS_CALL": eventParser(func(line *fieldReader) admission.Event {
		return admission.CallNeeded(line.id("Xid"))
	}),
	"CALL_RESULT": eventParser(func(line *fieldReader) admission.Event {
		id := line.id("Xid")
		var completion admission.Completion
		completion.Duration = line.duration("WaitTimeUs")
		completion.Outcome = line.outcome("Disposition")
		return admission.CallCompleted(id, completion)
	}),
	"NOTICE": eventParser(func(line *fieldReader) admission.Event {
		return admission.DrainStarted(admission.DrainSignal{StopAt: line.duration("DeadlineUs")})
	}),
	"ELAPSED": eventParser(func(line *fieldReader) admission.Event {
		line.next() // name of the timer; a node has only one
		return admission.TimerFired(line.gauges("Feedback"))
	}),
}

// eventParser returns a parser of messages that carry an event.
func eventParser(parse func(line *fieldReader) admission.Event) messageParser {
	return func(line *fieldReader, message *Message) {
		message.Kind = MessageEvent
		message.Event = parse(line)
	}
}

// parseMessage parses a line between the first and the last line of a batch.
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

// parseRequest parses the fields of a request. Numbers and flags that affect no decision are validated as well.
func parseRequest(line *fieldReader) admission.Event {
	var arrival admission.Arrival
	id := line.id("Xid")
	line.integer("By") // ID of the client
	arrival.MemoryKB = line.float("MemKb")
	arrival.Tenant = int(line.integer("Owner"))
	arrival.CostHint = line.duration("PredictedUs")
	line.next() // subject of a read
	arrival.Retry = line.flag("Repeat")
	line.flag("Mutates")
	arrival.RetryOf = line.id("Forerunner")
	line.float("Prio")
	arrival.Deadline = line.duration("DeadlineUs")
	arrival.ReadDelay = line.duration("WaitedUs")
	arrival.Class = int(line.integer("Kind"))
	return admission.RequestArrived(id, arrival)
}

package handover

import (
	"fmt"
	"strconv"
	"time"

	"falldeal/internal/jsonlines"

	"github.com/valyala/fastjson"
)

// command is the value of the field "cmd", which identifies the kind of a message.
type command string

const (
	commandKnown     command = "known"
	commandCompleted command = "over"
	commandReleased  command = "free"
	commandClaim     command = "claim"
	commandGranted   command = "grant"
	commandSynced    command = "synced"
)

// line holds the fields of one line of the protocol. Every line has all of them; fields that its command does not use
// are zero.
type line struct {
	command command
	key     string        // "once": the idempotency key
	digest  uint64        // "digest": of the request body, in hex
	at      time.Duration // "at": nanoseconds on the Unix clock
	ok      bool          // "ok"
	body    []byte        // "body": result of a run, in base64

	// Fields that older versions neither write nor read. They are written only if they are true.
	awaitsExit bool // "awaits_exit"
	ended      bool // "ended"
}

func (m KeyKnown) line() line {
	return line{command: commandKnown, key: m.IdempotencyKey, digest: m.Digest, at: m.WindowEnd}
}

func (m RunCompleted) line() line {
	return line{command: commandCompleted, key: m.IdempotencyKey, ok: m.OK, body: m.Result}
}

func (m KeyReleased) line() line { return line{command: commandReleased, key: m.IdempotencyKey} }

func (m KeyClaim) line() line {
	return line{command: commandClaim, key: m.IdempotencyKey, digest: m.Digest, at: m.ArrivedAt, awaitsExit: m.AwaitsExit}
}

func (m KeyGranted) line() line { return line{command: commandGranted, key: m.IdempotencyKey} }

func (KeysSynced) line() line { return line{command: commandSynced} }

func (RunsEnded) line() line { return line{command: commandSynced, ended: true} }

// message converts a line to a Message. It returns an error for an unknown command.
func (l *line) message() (Message, error) {
	switch l.command {
	case commandKnown:
		return KeyKnown{IdempotencyKey: l.key, Digest: l.digest, WindowEnd: l.at}, nil
	case commandCompleted:
		return RunCompleted{IdempotencyKey: l.key, OK: l.ok, Result: l.body}, nil
	case commandReleased:
		return KeyReleased{IdempotencyKey: l.key}, nil
	case commandClaim:
		return KeyClaim{IdempotencyKey: l.key, Digest: l.digest, ArrivedAt: l.at, AwaitsExit: l.awaitsExit}, nil
	case commandGranted:
		return KeyGranted{IdempotencyKey: l.key}, nil
	case commandSynced:
		if l.ended {
			return RunsEnded{}, nil
		}
		return KeysSynced{}, nil
	}
	return nil, fmt.Errorf("unknown command %.40q", string(l.command))
}

// appendMessage appends message as a line of JSON. Keys (hex digits) and commands need no escaping.
func appendMessage(b []byte, message Message) []byte {
	fields := message.line()
	b = append(b, `{"cmd":"`...)
	b = append(b, fields.command...)
	b = append(b, `","once":"`...)
	b = append(b, fields.key...)
	b = append(b, `","digest":"`...)
	b = strconv.AppendUint(b, fields.digest, 16)
	b = append(b, `","at":"`...)
	b = strconv.AppendInt(b, int64(fields.at), 10)
	b = append(b, `","ok":`...)
	b = strconv.AppendBool(b, fields.ok)
	b = jsonlines.AppendBase64(b, "body", fields.body)
	if fields.awaitsExit {
		b = append(b, `,"awaits_exit":true`...)
	}
	if fields.ended {
		b = append(b, `,"ended":true`...)
	}
	return append(b, "}\n"...)
}

func newParser() *jsonlines.Parser[Message] { return jsonlines.NewParser(decodeMessage) }

// decodeMessage decodes the JSON object of a line.
func decodeMessage(object *fastjson.Value) (Message, error) {
	fields := line{
		command:    command(jsonlines.Text(object, "cmd")),
		awaitsExit: object.GetBool("awaits_exit"),
		ended:      object.GetBool("ended"),
	}
	if _, err := fields.message(); err != nil {
		return nil, err // unknown command: the meaning of its other fields is not known
	}
	if fields.command != commandSynced { // the only command whose fields, such as the key, are all zero
		if err := fields.decode(object); err != nil {
			return nil, err
		}
	}
	return fields.message()
}

// decode reads all fields except the command.
func (l *line) decode(object *fastjson.Value) error {
	l.key = jsonlines.Text(object, "once")
	if l.key == "" {
		return fmt.Errorf("%s: field once: missing", l.command)
	}
	var err error
	l.digest, err = strconv.ParseUint(jsonlines.Text(object, "digest"), 16, 64)
	if err != nil {
		return fmt.Errorf("%s: field digest: %w", l.command, err)
	}
	at, err := strconv.ParseInt(jsonlines.Text(object, "at"), 10, 64)
	if err != nil {
		return fmt.Errorf("%s: field at: %w", l.command, err)
	}
	l.at = time.Duration(at)
	l.ok = object.GetBool("ok")
	l.body, err = jsonlines.Base64(object, "body")
	if err != nil {
		return fmt.Errorf("%s: %w", l.command, err)
	}
	return nil
}

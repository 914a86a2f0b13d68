package handover

import (
	"fmt"
	"strconv"
	"time"

	"falldeal/internal/jsonlines"

	"github.com/valyala/fastjson"
)

// Kind tells messages apart, in the words of the protocol.
type Kind string

// The kinds of Message.
const (
	Known     Kind = "known"  // an attempt with this key is in flight in the sender, or was run
	Completed Kind = "over"   // the run with this key has ended, as far as the sender knows
	Released  Kind = "free"   // nothing was run with this key, and nothing will be
	Claim     Kind = "claim"  // newer to older: an attempt with this key is to be run, unless the key is known
	Grant     Kind = "grant"  // older to newer: the claimed attempt may run
	Synced    Kind = "synced" // older to newer: all keys known so far have been sent
)

// Message is one line between the two processes.
type Message struct {
	Kind           Kind
	IdempotencyKey string        // in hex digits; none in Synced
	Digest         uint64        // Known, Claim: of what all attempts with the key ask for
	At             time.Duration // on the Unix clock; Known: end of the key's window; Claim: arrival of the attempt
	OK             bool          // Completed: the run succeeded, with Body as its result
	Body           []byte
}

// appendMessage appends the line of message. Keys and kinds need no escape.
func appendMessage(b []byte, message Message) []byte {
	b = append(append(b, `{"cmd":"`...), message.Kind...)
	b = append(append(b, `","once":"`...), message.IdempotencyKey...)
	b = strconv.AppendUint(append(b, `","digest":"`...), message.Digest, 16)
	b = strconv.AppendInt(append(b, `","at":"`...), int64(message.At), 10)
	b = strconv.AppendBool(append(b, `","ok":`...), message.OK)
	b = jsonlines.AppendBase64(b, "body", message.Body)
	return append(b, "}\n"...)
}

func newParser() *jsonlines.Parser[Message] { return jsonlines.NewParser(decodeMessage) }

func decodeMessage(object *fastjson.Value) (m Message, err error) {
	m = Message{
		Kind:           Kind(jsonlines.Text(object, "cmd")),
		IdempotencyKey: jsonlines.Text(object, "once"),
		OK:             object.GetBool("ok"),
	}
	switch m.Kind {
	case Synced:
		return m, nil
	case Known, Completed, Released, Claim, Grant:
	default:
		return m, fmt.Errorf("unknown message %.40q", string(m.Kind))
	}
	if m.IdempotencyKey == "" {
		return m, fmt.Errorf("%s: once is missing", m.Kind)
	}
	if m.Digest, err = strconv.ParseUint(jsonlines.Text(object, "digest"), 16, 64); err != nil {
		return m, fmt.Errorf("digest: %w", err)
	}
	at, err := strconv.ParseInt(jsonlines.Text(object, "at"), 10, 64)
	if err != nil {
		return m, fmt.Errorf("at: %w", err)
	}
	m.At = time.Duration(at)
	m.Body, err = jsonlines.Base64(object, "body")
	return m, err
}

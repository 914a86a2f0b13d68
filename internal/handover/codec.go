package handover

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fastjson"
)

// Kind tells messages apart.
type Kind string

// The kinds of Message.
const (
	Known     Kind = "known"  // a try under this key is in hand here, or was run
	Completed Kind = "over"   // the run under it has ended, for all that this process knows
	Released  Kind = "free"   // nothing was run under it, and nothing will be
	Claim     Kind = "claim"  // newer to older: a try under this key is to be run, unless the key is known
	Grant     Kind = "grant"  // older to newer: it may be
	Synced    Kind = "synced" // older to newer: all keys so far have been told
)

// Message is one line between the processes.
type Message struct {
	Kind           Kind
	IdempotencyKey string        // the key, in hex digits
	Digest         uint64        // Known, Claim: of what all its tries ask for
	At             time.Duration // Known: end of the window; Claim: arrival of the try; on the Unix clock
	OK             bool          // Over: it was a success, with Body
	Body           []byte
}

func appendMessage(b []byte, m Message) []byte {
	b = append(append(b, `{"cmd":"`...), m.Kind...)
	b = append(append(b, `","once":"`...), m.IdempotencyKey...)
	b = strconv.AppendUint(append(b, `","digest":"`...), m.Digest, 16)
	b = strconv.AppendInt(append(b, `","at":"`...), int64(m.At), 10)
	b = strconv.AppendBool(append(b, `","ok":`...), m.OK)
	b = base64.StdEncoding.AppendEncode(append(b, `,"body":"`...), m.Body)
	return append(b, "\"}\n"...)
}

// parser reads lines; it is used again for each.
type parser struct{ json fastjson.Parser }

// parse reads a line. Nothing of the Message refers to the line.
func (p *parser) parse(line []byte) (m Message, err error) {
	v, err := p.json.ParseBytes(line)
	if err != nil {
		return m, err
	}
	text := func(name string) string { return string(v.GetStringBytes(name)) }
	m = Message{Kind: Kind(text("cmd")), IdempotencyKey: text("once"), OK: v.GetBool("ok")}
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
	if m.Digest, err = strconv.ParseUint(text("digest"), 16, 64); err != nil {
		return m, fmt.Errorf("digest: %w", err)
	}
	at, err := strconv.ParseInt(text("at"), 10, 64)
	if err != nil {
		return m, fmt.Errorf("at: %w", err)
	}
	m.At = time.Duration(at)
	if m.Body, err = base64.StdEncoding.AppendDecode(nil, v.GetStringBytes("body")); err != nil {
		return m, fmt.Errorf("body: %w", err)
	}
	return m, nil
}

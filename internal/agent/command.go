package agent

import (
	"slices"
	"strconv"

	"falldeal/internal/jsonlines"

	"github.com/valyala/fastjson"
)

// Request IDs are hex digits and tokens are our own, so neither needs an escape.

const endOfObject = "}\n"

// encodeSubscribe asks for all numbered notifications after offset.
func encodeSubscribe(offset int64) []byte {
	return append(strconv.AppendInt([]byte(`{"cmd":"subscribe","offset":`), offset, 10), endOfObject...)
}

func encodeLaunch(requestID, class string, payload []byte) []byte {
	var arena fastjson.Arena
	b := append([]byte(`{"cmd":"launch","req":"`), requestID...)
	b = arena.NewString(class).MarshalTo(append(b, `","method":`...))
	return append(jsonlines.AppendBase64(b, "payload", payload), endOfObject...)
}

func encodeReply(requestID string, payload []byte) []byte {
	b := append([]byte(`{"cmd":"deliver","req":"`), requestID...)
	return append(jsonlines.AppendBase64(append(b, '"'), "payload", payload), endOfObject...)
}

func encodeSkipCall(requestID string, offset int64) []byte {
	b := append([]byte(`{"cmd":"forgo","req":"`), requestID...)
	return append(strconv.AppendInt(append(b, `","offset":`...), offset, 10), endOfObject...)
}

func encodeSample(sequence int64) []byte {
	return encodeWithToken("sample", strconv.FormatInt(sequence, 10))
}

func encodeDeepCheck(token string) []byte { return encodeWithToken("exercise", token) }

func encodeWithToken(name, token string) []byte {
	return []byte(`{"cmd":"` + name + `","token":"` + token + `"` + endOfObject)
}

// command is a line to the agent that is sent again after a break, until the agent is known to have read it.
type command struct {
	sequence      int64
	requestID     string // whose notifications prove that it was read
	line          []byte
	nonIdempotent bool // may do harm where the agent reads it twice
}

// commandLog holds the commands that the agent is not known to have read, in order of sending.
type commandLog []command

func (c *commandLog) add(added command) { *c = append(*c, added) }

// acknowledge removes the commands sent before sequence: the agent reads them in order.
func (c *commandLog) acknowledge(sequence int64) {
	*c = slices.DeleteFunc(*c, func(sent command) bool { return sent.sequence < sequence })
}

// removeRequest removes the commands about one request.
func (c *commandLog) removeRequest(requestID string) {
	*c = slices.DeleteFunc(*c, func(sent command) bool { return sent.requestID == requestID })
}

func (c commandLog) hasNonIdempotent() bool {
	return slices.ContainsFunc(c, func(sent command) bool { return sent.nonIdempotent })
}

// lines returns all commands as they go on the wire.
func (c commandLog) lines() []byte {
	var lines []byte
	for _, sent := range c {
		lines = append(lines, sent.line...)
	}
	return lines
}

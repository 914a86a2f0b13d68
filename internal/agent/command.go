package agent

import (
	"encoding/base64"
	"strconv"

	"falldeal/internal/jsonlines"

	"github.com/valyala/fastjson"
)

// Command is the type of a command to the agent.
type Command uint8

// The commands.
const (
	CommandUnknown   Command = iota // the agent rejected a command under a name that is not known here
	CommandSubscribe                // send the numbered notifications after an offset
	CommandLaunch                   // run a request
	CommandReply                    // pass a run the reply to the store call that it waits for
	CommandSkipCall                 // let a run continue without the store call that it waits for
	CommandSample                   // report the gauges
	CommandDeepCheck                // do the work of a deep health check
)

// String returns the name of the command in log lines.
func (c Command) String() string {
	switch c {
	case CommandSubscribe:
		return "subscribe"
	case CommandLaunch:
		return "launch"
	case CommandReply:
		return "reply"
	case CommandSkipCall:
		return "skip call"
	case CommandSample:
		return "sample"
	case CommandDeepCheck:
		return "deep check"
	default: // CommandUnknown
		return "unknown"
	}
}

// Names of commands on the wire. The agent defines them.
const (
	nameSubscribe = "subscribe"
	nameLaunch    = "launch"
	nameReply     = "deliver"
	nameSkipCall  = "forgo"
	nameSample    = "sample"
	nameDeepCheck = "exercise"
)

// commandNamed returns the command with this name on the wire.
func commandNamed(name []byte) Command {
	switch string(name) {
	case nameSubscribe:
		return CommandSubscribe
	case nameLaunch:
		return CommandLaunch
	case nameReply:
		return CommandReply
	case nameSkipCall:
		return CommandSkipCall
	case nameSample:
		return CommandSample
	case nameDeepCheck:
		return CommandDeepCheck
	default:
		return CommandUnknown
	}
}

// Each encode function returns a command as one line of JSON. Request IDs are hex digits, and tokens come from the Link or
// the server, so neither needs to be escaped.

const (
	endOfObject = "}\n"

	requestCommandSize = 80 // bytes reserved for a command about a request, excluding its class and payload
	tokenCommandSize   = 48 // bytes reserved for a command with a numeric token, or with an offset but no request
)

// encodeSubscribe requests all numbered notifications after offset.
func encodeSubscribe(offset int64) []byte {
	return appendOffset(beginCommand(nameSubscribe, tokenCommandSize), offset)
}

func encodeLaunch(requestID, class string, payload []byte) []byte {
	var arena fastjson.Arena
	b := beginCommand(nameLaunch, requestCommandSize+len(class)+base64.StdEncoding.EncodedLen(len(payload)))
	b = appendRequest(b, requestID)
	b = append(b, `","method":`...)
	b = arena.NewString(class).MarshalTo(b)
	b = jsonlines.AppendBase64(b, fieldPayload, payload)
	return append(b, endOfObject...)
}

func encodeReply(requestID string, payload []byte) []byte {
	b := beginCommand(nameReply, requestCommandSize+base64.StdEncoding.EncodedLen(len(payload)))
	b = appendRequest(b, requestID)
	b = append(b, '"')
	b = jsonlines.AppendBase64(b, fieldPayload, payload)
	return append(b, endOfObject...)
}

func encodeSkipCall(requestID string, offset int64) []byte {
	b := appendRequest(beginCommand(nameSkipCall, requestCommandSize), requestID)
	return appendOffset(b, offset)
}

func encodeSample(sequence int64) []byte {
	b := appendTokenName(beginCommand(nameSample, tokenCommandSize))
	b = strconv.AppendInt(b, sequence, 10)
	return endToken(b)
}

func encodeDeepCheck(token string) []byte {
	b := appendTokenName(beginCommand(nameDeepCheck, tokenCommandSize+len(token)))
	b = append(b, token...)
	return endToken(b)
}

// beginCommand returns the start of a command, up to its name. The next append function adds the closing quote of the name.
// capacity is in bytes.
func beginCommand(name string, capacity int) []byte {
	b := make([]byte, 0, capacity)
	b = append(b, `{"`+fieldKind+`":"`...)
	return append(b, name...)
}

// appendRequest appends the request ID. The closing quote of the ID is left to the caller.
func appendRequest(b []byte, requestID string) []byte {
	b = append(b, `","`+fieldRequest+`":"`...)
	return append(b, requestID...)
}

// appendOffset appends an offset and the end of the command.
func appendOffset(b []byte, offset int64) []byte {
	b = append(b, `","`+fieldOffset+`":`...)
	b = strconv.AppendInt(b, offset, 10)
	return append(b, endOfObject...)
}

// appendTokenName appends the start of the token, which is the last field of a command. The caller appends the token and
// calls endToken.
func appendTokenName(b []byte) []byte { return append(b, `","`+fieldToken+`":"`...) }

func endToken(b []byte) []byte { return append(b, `"`+endOfObject...) }

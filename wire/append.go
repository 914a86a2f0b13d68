package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"falldeal/admission"
)

const (
	verbBroken = "BROKEN"

	// timerName is the name of the only timer of a node. The simulator sends it back when the timer fires.
	timerName = "w"

	// advertPrecision is the number of significant digits of an advertised value.
	advertPrecision = 6
)

// actionVerbs are the first words of the output lines, by the kind of the action.
var actionVerbs = [...]string{
	admission.ActionRun:         "SERVE",
	admission.ActionStop:        "YANK",
	admission.ActionReject:      "OVERLOAD_REPLY",
	admission.ActionFail:        "LOSE",
	admission.ActionCall:        "ASK_BELOW",
	admission.ActionSkipCall:    "SKIP",
	admission.ActionRemember:    "KEEP",
	admission.ActionForget:      "EVICT",
	admission.ActionReuse:       "ANSWER_FROM",
	admission.ActionHealth:      "HEALTH",
	admission.ActionAdvertise:   "SAY",
	admission.ActionIdleTimeout: "IDLE_LIMIT",
	admission.ActionWake:        "WAKE_ME",
	admission.ActionLog:         "REMARK",
}

// AppendAction appends the line for an action of a node. The kind of the action must be one of package admission.
func AppendAction(b []byte, node int, action admission.Action) []byte {
	if action.Kind == admission.ActionLog {
		return appendRemark(b, node, action.Condition.String())
	}
	b = appendVerb(b, actionVerbs[action.Kind], node)
	return append(appendArguments(b, &action), '\n')
}

// appendRemark appends the line for a log message.
func appendRemark(b []byte, node int, text string) []byte {
	b = append(appendVerb(b, actionVerbs[admission.ActionLog], node), ' ')
	return append(append(b, oneLine(text)...), '\n')
}

// appendVerb appends the first word of a line and the ID of the node that the line is about.
func appendVerb(b []byte, verb string, node int) []byte {
	b = append(append(b, verb...), ' ')
	return strconv.AppendInt(b, int64(node), 10)
}

// appendArguments appends the fields after the verb and the node, each preceded by a space.
func appendArguments(b []byte, action *admission.Action) []byte {
	switch action.Kind {
	case admission.ActionRun, admission.ActionStop, admission.ActionFail, admission.ActionSkipCall,
		admission.ActionForget, admission.ActionReuse:
		return appendID(b, action.ID)
	case admission.ActionReject:
		b = appendMicroseconds(appendID(b, action.ID), action.Rejection.RetryAfter)
		return appendFlag(b, action.Rejection.NoRetryElsewhere)
	case admission.ActionCall:
		return appendMicroseconds(appendID(b, action.ID), action.Timeout)
	case admission.ActionRemember:
		return appendMicroseconds(appendID(b, action.ID), action.Duration)
	case admission.ActionHealth:
		return appendFlag(appendFlag(b, action.Health.Healthy), action.Health.Cached)
	case admission.ActionAdvertise:
		return strconv.AppendFloat(append(b, ' '), action.Value, 'g', advertPrecision, 64)
	case admission.ActionIdleTimeout:
		return appendMicroseconds(b, action.Duration)
	case admission.ActionWake:
		const roundUp = time.Microsecond - 1 // a timer must not fire before its time
		return append(appendMicroseconds(b, action.At+roundUp), " "+timerName...)
	case admission.ActionLog: // see appendRemark
	}
	return b
}

func appendID(b []byte, id admission.RequestID) []byte {
	return strconv.AppendUint(append(b, ' '), uint64(id), 10)
}

func appendMicroseconds(b []byte, d time.Duration) []byte {
	return strconv.AppendInt(append(b, ' '), d.Microseconds(), 10)
}

func appendFlag(b []byte, set bool) []byte {
	if set {
		return append(b, " 1"...)
	}
	return append(b, " 0"...)
}

// AppendBroken appends the line that reports that the controller of a node could not be created or has failed. The node
// takes no action until it is created again.
func AppendBroken(b []byte, node int, err error) []byte {
	return append(fmt.Appendf(b, "%s %d %s", verbBroken, node, oneLine(err.Error())), '\n')
}

// oneLine returns text with line breaks replaced by spaces.
func oneLine(text string) string { return strings.NewReplacer("\n", " ", "\r", " ").Replace(text) }

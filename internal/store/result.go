package store

import "strconv"

// Result is how a call ended.
type Result uint8

// The results. The last three are found out by the Link and not sent by the store.
const (
	OK                Result = iota //nolint:varnamelen // the protocol's name; with a body
	Rejected                        // it never ran
	Failed                          // it may have had its effect
	TimedOut                        // out of time, or its run has ended; it may have had its effect
	NotStarted                      // no run waits for it: it never ran
	ConnectionRefused               // no connection to the store: it never ran
	ConnectionBroken                // the connection broke during the call; it may have had its effect
	Expired                         // abandoned at its deadline; it may have had its effect
)

// String returns the name of the result.
func (r Result) String() string {
	switch r {
	case OK:
		return "OK"
	case Rejected:
		return "Rejected"
	case Failed:
		return "Failed"
	case TimedOut:
		return "TimedOut"
	case NotStarted:
		return "NotStarted"
	case ConnectionRefused:
		return "ConnectionRefused"
	case ConnectionBroken:
		return "ConnectionBroken"
	case Expired:
		return "Expired"
	default:
		return "Result(" + strconv.Itoa(int(r)) + ")"
	}
}

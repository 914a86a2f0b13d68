package store

import "strconv"

// Result is the result of a call.
type Result uint8

// The results. The last three are determined by the Link; the store does not send them.
const (
	OK                Result = iota //nolint:varnamelen // the name in the protocol; comes with a body
	Rejected                        // the call did not run
	Failed                          // the call may have had an effect
	TimedOut                        // timed out, or its run has ended; the call may have had an effect
	NotStarted                      // no run waits for the call, so it did not run
	ConnectionRefused               // no connection could be opened, so the call did not run
	ConnectionBroken                // the connection broke during the call, which may have had an effect
	Expired                         // abandoned at its deadline; the call may have had an effect
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

package store

import "strconv"

// Result says how a call to the store ended.
type Result uint8

// The results. The store sends the first five in its replies. The Link reports the other three if it gets no reply.
const (
	OK                Result = iota //nolint:varnamelen // named as in the protocol; the call succeeded, and the reply has a body
	Rejected                        // the store did not execute the call
	Failed                          // the call may have had an effect
	TimedOut                        // timed out at the store, or the run that made the call has ended; may have had an effect
	NotStarted                      // no run waits for the call, so the store did not execute it
	ConnectionRefused               // no connection could be opened, so the call was not sent
	ConnectionBroken                // the connection broke during the call, which may have had an effect
	Expired                         // the Link abandoned the call at its deadline; the call may have had an effect
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

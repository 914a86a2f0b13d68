package msgpackrpc

import "testing"

// Other customers' front ends tell neither how long they wait nor what to expect, and their settings name what the
// sockets have no message for. Such requests are run, and have until their class's deadline; before, each was answered
// as wrong.
func TestRequestsThatTellLittle(t *testing.T) {
	p := start(t, `"PassesDeadline": true`, `"PassesDeadline": false`, `"Halt": "off"`, `"Halt": "drop"`,
		`"DeadlineUs": 7000000`, `"DeadlineUs": 150000`)
	f := p.dial()
	little := []string{"wait", absent, "cost", absent, "rank", absent}
	run := f.send("hires-crop", "x", little...)
	p.expect("launch", run)
	p.tell("outcome", run, "success", []byte("x"))
	f.expectAnswer(1, "x")
	slow := f.send("preview", "y", little...)
	p.expect("launch", slow)
	f.expectAnswer(2, errFailed) // by the deadline of its class, though its run goes on
	p.tell("outcome", slow, "success", nil)
	f.send("hires-crop", "z", "kb", absent)
	f.expectAnswer(3, errInvalid)
}

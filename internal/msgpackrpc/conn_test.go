package msgpackrpc

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"falldeal/internal/server"

	"github.com/stretchr/testify/require"
)

func appendProbe(id uint32, fields map[string]string) []byte {
	b := appendUint(append(appendArray(nil, 4), kindRequest), id)
	return appendFields(appendArray(appendText(b, methodHealth), 1), fields)
}

// Wrong requests are answered; a broken frame ends its own connection and no other.
func TestWrongInput(t *testing.T) {
	p := start(t)
	f := p.dial()
	f.send("poster", "x")
	f.expectAnswer(1, errInvalid)
	f.send("licence-order", "without once")
	f.expectAnswer(2, errInvalid)
	f.send("preview", "x", "kb", "-1")
	f.expectAnswer(3, errInvalid)
	run := f.send("preview", "x")
	p.expect("launch", run)
	f.send("preview", "same id", "id", run)
	f.expectAnswer(5, errInvalid)
	for _, broken := range []string{"\xc1", "\x01", "\x94\x00\x01\xa1x\xc6\xff\xff\xff\xff"} {
		g := p.dial()
		g.write([]byte(broken))
		g.expectEnd()
	}
	f.write(appendProbe(6, map[string]string{"deep": "1"}))
	f.expectAnswer(6, "%!s(bool=true)")
	p.tell("outcome", run, "success", []byte("served"))
	f.expectAnswer(4, "served")
}

// After cancelRequest nothing is owed, and what the run still tells does no harm.
func TestCancel(t *testing.T) {
	p := start(t)
	f := p.dial()
	run := f.send("preview", "x")
	p.expect("launch", run)
	cancel := appendText(append(appendArray(nil, 3), kindNotification), methodCancel)
	f.write(appendUint(appendArray(cancel, 1), 1))
	f.write(appendUint(appendArray(cancel, 1), 99)) // unknown
	f.write(appendProbe(2, nil))
	f.expectAnswer(2, "%!s(bool=true)")
	p.tell("outcome", run, "interrupted", nil)
	f.next = 2
	next := f.send("preview", "y")
	p.expect("launch", next)
	p.tell("outcome", next, "success", []byte("y"))
	f.expectAnswer(3, "y")
}

// Front ends may take half of the descriptors: the connection idle for longest makes room.
func TestConnectionLimit(t *testing.T) {
	p := start(t, `"sockets": 1024`, `"sockets": 64`)
	var all []*front
	for i := range 25 { // 8 of 32 are spare
		f := p.dial()
		f.write(appendProbe(1, nil))
		f.expectAnswer(1, "%!s(bool=true)")
		if i == 0 {
			p.expect("launch", f.send("preview", "busy"))
		}
		all = append(all, f)
	}
	all[1].expectEnd()
	all[2].write(appendProbe(2, nil))
	all[2].expectAnswer(2, "%!s(bool=true)")
}

// Connections that say nothing, or begin a message and don't end it, must not keep front ends out. One that
// has sent a whole message may be silent for as long as idle ones may.
func TestSilentConnections(t *testing.T) {
	p := start(t, `"IdleUs": 30000000`, `"IdleUs": 0`)
	good, silent, half, later := p.dial(), p.dial(), p.dial(), p.dial()
	for _, f := range []*front{good, later} {
		f.write(appendProbe(1, nil))
		f.expectAnswer(1, "%!s(bool=true)")
	}
	half.write([]byte("\x94\x00"))
	later.write([]byte("\x94"))
	for _, f := range []*front{silent, half, later} {
		f.expectEnd()
	}
	good.write(appendProbe(2, nil))
	good.expectAnswer(2, "%!s(bool=true)")
}

// What ended a connection is counted by its kind.
func TestEnds(t *testing.T) {
	for _, c := range []struct {
		err  error
		want server.EndReason
	}{
		{io.EOF, server.Disconnected},
		{&net.OpError{Op: "read", Err: syscall.ECONNRESET}, server.Disconnected},
		{&net.OpError{Op: "read", Err: net.ErrClosed}, server.Disconnected},
		{&net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}, server.ReadTimeout},
		{errTooLong, server.MalformedInput},
		{fmt.Errorf("%w: kind 7", errBroken), server.MalformedInput},
	} {
		require.Equal(t, c.want, endOf(c.err), "%v", c.err)
	}
}

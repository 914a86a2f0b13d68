package msgpackrpc

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Lost: what was read gets one final answer, bodies and replies pass unchanged, and neither a slow run
// nor a broken link to the agent keeps an answer back.
func TestLost(t *testing.T) {
	p := start(t)
	f := p.dial()
	body := "\x00\xff\r\n\"body"
	id := f.send("preview", body)
	c := p.expect("launch", id)
	require.Equal(t, "preview", c.Method)
	require.Equal(t, body, string(c.Payload))

	p.tell("request", id, "", []byte("call\r\n"))
	call := await(p, p.calls, "call")
	require.Equal(t, id+" call\r\n", call.id+" "+call.body)
	fmt.Fprintf(call, "%s OK 7\r\nreply\r\n\r\n", id)
	require.Equal(t, "reply\r\n", string(p.expect("deliver", id).Payload))
	p.tell("outcome", id, "success", []byte(body))
	f.expectAnswer(1, body)

	// A run that does not end: its caller is answered in time, and only once.
	slow := f.send("hires-crop", "slow", "wait", "150")
	p.expect("launch", slow)
	f.expectAnswer(2, errFailed)
	p.tell("outcome", slow, "success", []byte("late"))

	// The link breaks during a run. Its end, and a request of that time, are not lost.
	run := f.send("hires-crop", "x")
	p.expect("launch", run)
	p.tell("request", run, "", nil) // proves that the launch was read
	await(p, p.calls, "call")       // the server has read the notice once it calls
	p.cut()
	waiting := f.send("hires-crop", "y")
	require.Equal(t, p.offset, p.expect("subscribe", "").Offset)
	p.greet <- "steady"
	p.expect("launch", waiting)
	p.tell("outcome", run, "success", []byte("kept"))
	f.expectAnswer(3, "kept")
	p.tell("outcome", waiting, "failure", nil)
	f.expectAnswer(4, errFailed)
}

// Duplicate: however often a keyed request comes within its window, it is run once, and its result
// answers every try.
func TestDuplicate(t *testing.T) {
	p := start(t)
	f := p.dial()
	once := []string{"once", "ab12"}
	first, a := f.try("licence-order", "order", once...)
	_, b := f.try("licence-order", "order", once...)
	f.write(append(a, b...)) // both may be read in one turn
	p.expect("launch", first)
	f.send("licence-order", "order", once...) // during the run
	p.quiet()
	p.tell("outcome", first, "success", []byte("done"))
	f.expectAnswer(1, "done")
	f.expectAnswer(2, "done")
	f.expectAnswer(3, "done")
	g := p.dial()
	g.send("licence-order", "order", once...) // after it
	g.expectAnswer(1, "done")
	p.quiet()

	// A run that failed may have had its effect: no other try may run.
	past := time.Now().Add(-time.Minute).UnixMilli() // longer than its window
	failed := g.send("licence-order", "order", "once", "cd34", "at", fmt.Sprint(past))
	p.expect("launch", failed)
	p.tell("outcome", failed, "failure", nil)
	g.expectAnswer(2, errFailed)
	g.send("licence-order", "order", "once", "cd34", "at", fmt.Sprint(past+1000))
	g.expectAnswer(3, errFailed)

	// The window counts from the try that ran; past it the order is a new one.
	again := g.send("licence-order", "order", "once", "cd34")
	p.expect("launch", again)
}

// A newer process takes the place of this one: no connection is refused or left unread, what each has read it
// answers, and a keyed request is run by one of them, whose result answers tries at both.
func TestReplace(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	path := filepath.Join(t.TempDir(), "s")
	older := startAt(t, ln, path, `"stop_ms": 3200`, `"stop_ms": 3000000`)
	require.Eventually(t, func() bool { _, err := os.Stat(path); return err == nil }, patience, time.Millisecond)
	f := older.dial()
	run := f.send("licence-order", "a", "once", "aa")
	older.expect("launch", run)
	newer := startAt(t, ln, path)
	newer.tries = 100 // ids are new with every try
	older.server.Drain()
	f.expectClosing()
	g := newer.dial()
	for g.closing() { // the older one took it just before
		g.net.Close()
		g = newer.dial()
	}
	g.next = 1
	g.send("licence-order", "a", "once", "aa")
	newer.quiet()
	older.tell("outcome", run, "success", []byte("done"))
	f.expectAnswer(1, "done")
	g.expectAnswer(2, "done")

	crossing := g.send("licence-order", "b", "once", "bb")
	newer.expect("launch", crossing)
	f.send("licence-order", "b", "once", "bb")
	older.quiet()
	newer.tell("outcome", crossing, "success", []byte("other"))
	g.expectAnswer(3, "other")
	f.expectAnswer(2, "other")
	f.net.Close()
	require.NoError(t, await(older, older.over, "end of the older process"))

	g.send("licence-order", "a", "once", "aa")
	g.expectAnswer(4, "done")
	newer.quiet()
}

// Drain: what was read is answered, what arrives after the grace is not run, and the server ends.
func TestDrain(t *testing.T) {
	p := start(t, `"stop_ms": 3200`, `"stop_ms": 60000`, `"StopSendingWithinUs": 2500000`, `"StopSendingWithinUs": 1`)
	f := p.dial()
	idle := p.dial()
	run := f.send("preview", "x")
	p.expect("launch", run)
	p.server.Drain()
	p.server.Drain()
	f.expectClosing()
	idle.expectClosing()
	idle.net.Close()
	f.send("preview", "too late", "at", fmt.Sprint(time.Now().Add(time.Second).UnixMilli()))
	f.expectAnswer(2, errRefused)
	p.tell("outcome", run, "success", []byte("done"))
	f.expectAnswer(1, "done")
	require.Empty(t, p.commands)
	f.net.Close()
	require.NoError(t, await(p, p.over, "end of the server"))
	_, err := net.Dial("tcp", p.addr)
	require.Error(t, err)
}

// A front end that stays must not keep the process past its time.
func TestDrainEndsInTime(t *testing.T) {
	p := start(t, `"stop_ms": 3200`, `"stop_ms": 500`)
	f := p.dial()
	run := f.send("preview", "x")
	p.expect("launch", run)
	p.server.Drain()
	v, err := f.in.next()
	require.NoError(t, err)
	require.Equal(t, methodClosing, v.(arrayValue)[1])
	f.expectAnswer(1, errFailed)
	require.NoError(t, await(p, p.over, "end of the server"))
	f.expectEnd()
}

// Fall-over: no more runs at once than the crowd that a server survives, and no more than fit into
// its memory, whatever is read.
func TestFallOver(t *testing.T) {
	for name, set := range map[string][]string{
		"crowd":  {`"Cpus": 6`, `"Cpus": 1`, `"FallMultiple": 5.0`, `"FallMultiple": 1.0`},
		"memory": {`"MemoryKb": 43152.0`, `"MemoryKb": 700`}, // a run takes 392
	} {
		t.Run(name, func(t *testing.T) {
			p := start(t, set...)
			f := p.dial()
			for range 3 {
				f.send("hires-crop", "x", "cost", "1")
			}
			for call := 1; call <= 3; call++ {
				c := await(p, p.commands, "launch")
				p.quiet()
				p.tell("outcome", c.Req, "success", []byte(c.Req))
				f.expectAnswer(call, c.Req)
			}
		})
	}
}

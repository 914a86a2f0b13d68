package fakes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"falldeal/lab/workerpool"
)

// Store is a fake store. Its exported fields are set before Serve and not changed after it. Its methods may be called
// from any goroutine.
type Store struct {
	Slots    *workerpool.Pool      // shared by all calls; nil: calls are answered at once
	CallWork time.Duration         // of a call in a slot
	Crash    workerpool.CrashModel // under more calls than the store survives
	Now      func() time.Duration  // clock of Slots
	// OnCallStarted and OnCallEnded are called while the store is locked, and must not call its methods.
	OnCallStarted func(id string, inFlight int)
	OnCallEnded   func(id string, inFlight int)

	unresponsive atomic.Bool

	mu           sync.Mutex
	inFlight     map[string]replyFunc // by identifier in Slots
	hangingCalls int                  // that an unresponsive store holds
	timer        completionTimer      // of Slots
}

// replyFunc writes the reply to one call. It may be called from any goroutine.
type replyFunc func(callStatus)

// SetUnresponsive makes the store accept calls without answering any of them before its timeout, or returns it to
// normal. Calls that it holds already stay as they are.
func (s *Store) SetUnresponsive(on bool) { s.unresponsive.Store(on) }

// Serve accepts connections of image servers until ln is closed, and returns the listener's error.
func (s *Store) Serve(ln net.Listener) error { return accept(ln, s.handleConn) }

func (s *Store) handleConn(conn net.Conn) {
	defer conn.Close()
	var writing sync.Mutex // calls of one connection complete in any order
	reader := bufio.NewReader(conn)
	for {
		call, err := readCall(reader)
		if err != nil {
			return
		}
		s.handleCall(call, func(status callStatus) {
			writing.Lock()
			defer writing.Unlock()
			call.writeReply(conn, status)
		})
	}
}

func (s *Store) handleCall(call *storeCall, reply replyFunc) {
	switch {
	case s.unresponsive.Load():
		s.hang(call.id, call.timeout, reply)
	case s.Slots != nil:
		s.startCall(call.id, reply)
	default:
		reply(callOK)
	}
}

// hang holds a call until its timeout has elapsed.
func (s *Store) hang(id string, timeout time.Duration, reply replyFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangingCalls++
	if s.OnCallStarted != nil {
		s.OnCallStarted(id, s.hangingCalls)
	}
	time.AfterFunc(timeout, func() {
		s.endHangingCall(id)
		reply(callLate)
	})
}

func (s *Store) endHangingCall(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangingCalls--
	if s.OnCallEnded != nil {
		s.OnCallEnded(id, s.hangingCalls)
	}
}

// startCall puts a call into the slots. An abandoned call stays there until its work is done.
func (s *Store) startCall(id string, reply replyFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	if s.inFlight == nil {
		s.inFlight = map[string]replyFunc{}
	}
	if s.Crash.IsDown(s.Now()) {
		go reply(callFailed)
		return
	}
	for s.inFlight[id] != nil {
		id += "+" // a second call of a request: the store works at both
	}
	s.inFlight[id] = reply
	s.Slots.Add(id, s.CallWork)
	if s.OnCallStarted != nil {
		s.OnCallStarted(id, s.Slots.InFlight())
	}
	if s.Crash.Observe(s.Now(), s.Slots.InFlight()) {
		s.failAll()
	}
	s.scheduleAdvance()
}

// failAll fails the calls in all slots, as a crash does.
func (s *Store) failAll() {
	for id := range s.inFlight {
		s.Slots.Cancel(id)
		s.finishCall(id, callFailed)
	}
}

// finishCall replies on a goroutine of its own, which ends once the reply is written or the connection has ended: a
// client that does not read must not block the store.
func (s *Store) finishCall(id string, status callStatus) {
	reply := s.inFlight[id]
	delete(s.inFlight, id)
	if s.OnCallEnded != nil {
		s.OnCallEnded(id, s.Slots.InFlight())
	}
	go reply(status)
}

// advance brings the slots to the present and finishes the calls that have completed.
func (s *Store) advance() {
	for _, id := range s.Slots.Advance(s.Now()) {
		s.finishCall(id, callOK)
	}
}

// scheduleAdvance sets the timer to the next completion in the slots.
func (s *Store) scheduleAdvance() {
	s.timer.schedule(&s.mu, s.Slots, s.Now, s.advance)
}

// storeCall is one call of an image server.
type storeCall struct {
	id      string
	timeout time.Duration
	body    []byte // with its line end
}

// readCall reads the next call with its body. It skips all other lines: a DROP needs no action, as the image server
// ignores the reply to a call that it has dropped.
func readCall(reader *bufio.Reader) (*storeCall, error) {
	var id string
	var timeoutMillis, length int
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return nil, fmt.Errorf("read command: %w", err)
		}
		if _, err := fmt.Sscanf(line, "CALL %s %d %d\r\n", &id, &timeoutMillis, &length); err == nil {
			break
		}
	}
	body := make([]byte, length+len("\r\n"))
	if _, err := io.ReadFull(reader, body); err != nil {
		return nil, fmt.Errorf("read body of call %s: %w", id, err)
	}
	return &storeCall{id: id, timeout: time.Duration(timeoutMillis) * time.Millisecond, body: body}, nil
}

// writeReply writes the reply to a call, whose result is its body. An error of the connection ends its reader.
func (c *storeCall) writeReply(w io.Writer, status callStatus) {
	if status == callOK {
		fmt.Fprintf(w, "%s OK %d\r\n%s", c.id, len(c.body)-len("\r\n"), c.body)
		return
	}
	fmt.Fprintf(w, "%s %s\r\n", c.id, status)
}

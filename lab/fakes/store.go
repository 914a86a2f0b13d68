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

// Store is a fake store. Its exported fields must be set before Serve and must not change afterwards. Its methods are
// safe for concurrent use.
type Store struct {
	Slots    *workerpool.Pool      // shared by all calls; nil: calls are answered at once
	CallWork time.Duration         // work of a call in a slot
	Crash    workerpool.CrashModel // when the store crashes under too many calls, and for how long
	Now      func() time.Duration  // clock of Slots
	// OnCallStarted and OnCallEnded are called while the store holds its lock. They must not call methods of the
	// store.
	OnCallStarted func(id string, inFlight int)
	OnCallEnded   func(id string, inFlight int)

	unresponsive atomic.Bool

	// mu guards the fields below, Slots and Crash.
	mu           sync.Mutex
	inFlight     map[string]replyFunc // by ID in Slots
	hangingCalls int                  // number of calls that the unresponsive store holds until their timeout
	timer        completionTimer      // fires at the next completion in Slots
}

// replyFunc writes the reply to one call. It is safe for concurrent use.
type replyFunc func(callStatus)

// SetUnresponsive sets whether the store holds each new call until its timeout instead of answering it. Calls that
// the store has already received are not affected.
func (s *Store) SetUnresponsive(on bool) { s.unresponsive.Store(on) }

// Serve accepts connections of image servers until ln is closed. It returns the listener's error.
func (s *Store) Serve(ln net.Listener) error { return accept(ln, s.handleConn) }

func (s *Store) handleConn(conn net.Conn) {
	defer conn.Close()
	var writing sync.Mutex // calls of one connection may complete in any order
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

// hang holds a call until its timeout and then replies that it is late.
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

// startCall adds a call to the slots. The call stays there until its work is done, even if the image server drops it.
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
		id += "+" // another call with the same ID: the store works on both
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

// failAll fails all calls in the slots, as a crash does.
func (s *Store) failAll() {
	for id := range s.inFlight {
		s.Slots.Cancel(id)
		s.finishCall(id, callFailed)
	}
}

// finishCall removes a call and replies to it in a new goroutine, so that an image server that does not read cannot
// block the store. The goroutine ends when the reply is written or the connection has ended.
func (s *Store) finishCall(id string, status callStatus) {
	reply := s.inFlight[id]
	delete(s.inFlight, id)
	if s.OnCallEnded != nil {
		s.OnCallEnded(id, s.Slots.InFlight())
	}
	go reply(status)
}

// advance advances the slots to the present and finishes the calls that have completed.
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
	body    []byte // including its line end
}

// readCall reads the next call and its body. It skips all other commands. DROP needs no action, because the image
// server ignores the reply to a call that it has dropped.
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

// writeReply writes the reply to a call. The result of a call is its body. Write errors are ignored: once the connection
// is broken, the goroutine that reads it ends.
func (c *storeCall) writeReply(w io.Writer, status callStatus) {
	if status == callOK {
		fmt.Fprintf(w, "%s OK %d\r\n%s", c.id, len(c.body)-len("\r\n"), c.body)
		return
	}
	fmt.Fprintf(w, "%s %s\r\n", c.id, status)
}

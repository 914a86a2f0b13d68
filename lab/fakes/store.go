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

// Store is a store. Its fields are set before Serve.
type Store struct {
	Delay time.Duration                       // from a call to its reply
	Reply func(id string, body []byte) string // the word of the reply; nil: OutcomeOK with the body

	Slots         *workerpool.Pool      // calls share it; nil: each takes Delay
	CallWork      time.Duration         // of a call in a slot
	Crash         workerpool.CrashModel // and it falls when it is crowded
	Now           func() time.Duration  // its clock
	OnCallStarted func(id string, inHand int)
	OnCallEnded   func(id string, inHand int) // both are called with the store held, and must not call back

	calls atomic.Int64

	unresponsive atomic.Bool

	mu           sync.Mutex // of the slots
	inFlight     map[string]func(word string)
	hangingCalls int
	timer        *time.Timer
}

// SetUnresponsive has the store take calls and answer none of them before their time is up, or answer those to come again.
func (s *Store) SetUnresponsive(on bool) { s.unresponsive.Store(on) }

// hang keeps a call until its time is up.
func (s *Store) hang(id string, wait time.Duration, reply func(status string)) {
	s.mu.Lock()
	s.hangingCalls++
	if s.OnCallStarted != nil {
		s.OnCallStarted(id, s.hangingCalls)
	}
	s.mu.Unlock()
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		s.hangingCalls--
		if s.OnCallEnded != nil {
			s.OnCallEnded(id, s.hangingCalls)
		}
		s.mu.Unlock()
		reply("LATE")
	})
}

// startCall puts a call into the slots. A call that nobody waits for any more stays in them until it is done.
func (s *Store) startCall(id string, reply func(status string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	if s.inFlight == nil {
		s.inFlight = map[string]func(string){}
	}
	if s.Crash.IsDown(s.Now()) {
		go reply("ERR")
		return
	}
	for s.inFlight[id] != nil {
		id += "+" // a second call of a request: both are worked at
	}
	s.inFlight[id] = reply
	s.Slots.Add(id, s.CallWork)
	if s.OnCallStarted != nil {
		s.OnCallStarted(id, s.Slots.InFlight())
	}
	if s.Crash.Observe(s.Now(), s.Slots.InFlight()) {
		for id := range s.inFlight {
			s.Slots.Cancel(id)
			s.finishCall(id, "ERR")
		}
	}
	s.scheduleAdvance()
}

func (s *Store) finishCall(id, status string) {
	reply := s.inFlight[id]
	delete(s.inFlight, id)
	if s.OnCallEnded != nil {
		s.OnCallEnded(id, s.Slots.InFlight())
	}
	go reply(status)
}

func (s *Store) advance() {
	for _, id := range s.Slots.Advance(s.Now()) {
		s.finishCall(id, "OK")
	}
}

func (s *Store) scheduleAdvance() {
	if s.timer != nil {
		s.timer.Stop()
	}
	if at, ok := s.Slots.NextCompletion(); ok {
		s.timer = time.AfterFunc(at-s.Now(), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.advance()
			s.scheduleAdvance()
		})
	}
}

// Calls is how many calls were read.
func (s *Store) Calls() int64 { return s.calls.Load() }

// Serve accepts connections until ln is closed.
func (s *Store) Serve(ln net.Listener) error { return accept(ln, s.handleConn) }

func (s *Store) handleConn(conn net.Conn) {
	defer conn.Close()
	var mu sync.Mutex // of the writing side
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		var id string
		var wait, length int
		if _, err := fmt.Sscanf(line, "CALL %s %d %d\r\n", &id, &wait, &length); err != nil {
			continue // DROP: the reply that still comes is for nobody
		}
		body := make([]byte, length+2)
		if _, err := io.ReadFull(reader, body); err != nil {
			return
		}
		s.calls.Add(1)
		send := func(status string) {
			mu.Lock()
			defer mu.Unlock()
			if status == "OK" {
				fmt.Fprintf(conn, "%s OK %d\r\n%s", id, length, body)
			} else {
				fmt.Fprintf(conn, "%s %s\r\n", id, status)
			}
		}
		answer := func() {
			status := "OK"
			if s.Reply != nil {
				status = s.Reply(id, body[:length])
			}
			send(status)
		}
		if s.unresponsive.Load() {
			s.hang(id, time.Duration(wait)*time.Millisecond, send)
		} else if s.Slots != nil {
			s.startCall(id, send)
		} else if s.Delay > 0 {
			time.AfterFunc(s.Delay, answer)
		} else {
			answer()
		}
	}
}

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

	mute atomic.Bool

	mu    sync.Mutex // of the slots
	hand  map[string]func(word string)
	hung  int
	timer *time.Timer
}

// SetUnresponsive has the store take calls and answer none of them before their time is up, or answer those to come again.
func (s *Store) SetUnresponsive(on bool) { s.mute.Store(on) }

// hang keeps a call until its time is up.
func (s *Store) hang(id string, wait time.Duration, answer func(word string)) {
	s.mu.Lock()
	s.hung++
	if s.OnCallStarted != nil {
		s.OnCallStarted(id, s.hung)
	}
	s.mu.Unlock()
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		s.hung--
		if s.OnCallEnded != nil {
			s.OnCallEnded(id, s.hung)
		}
		s.mu.Unlock()
		answer("LATE")
	})
}

// begin puts a call into the slots. A call that nobody waits for any more stays in them until it is done.
func (s *Store) begin(id string, answer func(word string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	if s.hand == nil {
		s.hand = map[string]func(string){}
	}
	if s.Crash.IsDown(s.Now()) {
		go answer("ERR")
		return
	}
	for s.hand[id] != nil {
		id += "+" // a second call of a request: both are worked at
	}
	s.hand[id] = answer
	s.Slots.Add(id, s.CallWork)
	if s.OnCallStarted != nil {
		s.OnCallStarted(id, s.Slots.InFlight())
	}
	if s.Crash.Observe(s.Now(), s.Slots.InFlight()) {
		for id := range s.hand {
			s.Slots.Cancel(id)
			s.end(id, "ERR")
		}
	}
	s.arm()
}

func (s *Store) end(id, word string) {
	answer := s.hand[id]
	delete(s.hand, id)
	if s.OnCallEnded != nil {
		s.OnCallEnded(id, s.Slots.InFlight())
	}
	go answer(word)
}

func (s *Store) advance() {
	for _, id := range s.Slots.Advance(s.Now()) {
		s.end(id, "OK")
	}
}

func (s *Store) arm() {
	if s.timer != nil {
		s.timer.Stop()
	}
	if at, ok := s.Slots.NextCompletion(); ok {
		s.timer = time.AfterFunc(at-s.Now(), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.advance()
			s.arm()
		})
	}
}

// Calls is how many calls were read.
func (s *Store) Calls() int64 { return s.calls.Load() }

// Serve accepts connections until ln is closed.
func (s *Store) Serve(ln net.Listener) error { return accept(ln, s.read) }

func (s *Store) read(nc net.Conn) {
	defer nc.Close()
	var mu sync.Mutex // of the writing side
	in := bufio.NewReader(nc)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		var id string
		var wait, length int
		if _, err := fmt.Sscanf(line, "CALL %s %d %d\r\n", &id, &wait, &length); err != nil {
			continue // DROP: the reply that still comes is for nobody
		}
		body := make([]byte, length+2)
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		s.calls.Add(1)
		say := func(word string) {
			mu.Lock()
			defer mu.Unlock()
			if word == "OK" {
				fmt.Fprintf(nc, "%s OK %d\r\n%s", id, length, body)
			} else {
				fmt.Fprintf(nc, "%s %s\r\n", id, word)
			}
		}
		answer := func() {
			word := "OK"
			if s.Reply != nil {
				word = s.Reply(id, body[:length])
			}
			say(word)
		}
		if s.mute.Load() {
			s.hang(id, time.Duration(wait)*time.Millisecond, say)
		} else if s.Slots != nil {
			s.begin(id, say)
		} else if s.Delay > 0 {
			time.AfterFunc(s.Delay, answer)
		} else {
			answer()
		}
	}
}

// Package history is what happened in a laboratory, on one clock: requests and answers as callers saw them, runs and
// calls as stand-ins saw them, processes and faults as the laboratory made them, and what members said of one another.
// Verdicts are reached from it by code that shares nothing with what it judges.
package history

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"
)

// Kinds of events.
const (
	AttemptSent      = "ask"     // a try was written to a server: Try, Once, Class, Server, Caller, Due
	AttemptAnswered  = "answer"  // Word is served, refused, failed; or lost: its connection ended
	AttemptAbandoned = "gave up" // the caller waits no longer for a try
	RunStarted       = "run"     // an agent began a run of a try
	RunEnded         = "run end" // Word is how it ended
	CallStarted      = "call"    // a call came to a store; N are in hand there
	CallEnded        = "call end"
	ProcessChanged   = "process" // Word is started, killed, stopped, continued, told to end, ended
	FaultChanged     = "fault"   // Word says which, N is 1 at its beginning and 0 at its end
	ViewChanged      = "view"    // Server says that Member is Word
	RequestCompleted = "request" // a request of a caller is over: Word is how, N its tries
)

// Event is one thing that happened. At is on the laboratory's clock.
type Event struct {
	At             time.Duration `json:"at"`
	Kind           string        `json:"kind"`
	Server         string        `json:"server,omitempty"`
	Member         string        `json:"member,omitempty"`
	AttemptID      string        `json:"try,omitempty"`
	IdempotencyKey string        `json:"once,omitempty"`
	Class          string        `json:"class,omitempty"`
	Client         int           `json:"caller,omitempty"`
	Detail         string        `json:"word,omitempty"`
	Count          int           `json:"n,omitempty"`
	Deadline       time.Duration `json:"due,omitempty"`   // on the same clock
	Latency        time.Duration `json:"took,omitempty"`  // of a request
	Value          float64       `json:"worth,omitempty"` // of a request, and what of it was got
	ValueServed    float64       `json:"got,omitempty"`
	Work           time.Duration `json:"work,omitempty"` // of a request, on one core
}

// Log collects events. Its methods may be called from any goroutine.
type Log struct {
	mu     sync.Mutex
	begun  time.Time
	events []Event
}

// NewLog returns an empty log, whose clock begins now.
func NewLog() *Log { return &Log{begun: time.Now()} }

// Now is the laboratory's clock.
func (l *Log) Now() time.Duration { return time.Since(l.begun) }

// Add adds an event that happens now.
func (l *Log) Add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.At = time.Since(l.begun)
	l.events = append(l.events, e)
}

// Events returns what has happened so far, in order.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.events[:len(l.events):len(l.events)]
}

// Write writes events, one a line.
func Write(path string, events []Event) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	enc := json.NewEncoder(w)
	for i := range events {
		if err := enc.Encode(&events[i]); err != nil {
			f.Close()
			return err
		}
	}
	if err := w.Flush(); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// Read reads what Write has written. What a break has cut off at the end is left out.
func Read(r io.Reader) (events []Event, err error) {
	dec := json.NewDecoder(bufio.NewReader(r))
	for {
		var e Event
		if err := dec.Decode(&e); err == io.EOF || err == io.ErrUnexpectedEOF {
			return events, nil
		} else if err != nil {
			return events, err
		}
		events = append(events, e)
	}
}

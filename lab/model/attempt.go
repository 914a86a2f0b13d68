package model

import (
	"time"

	"falldeal/admission"
	"falldeal/lab/history"
)

// attemptState is how far a server has got with an attempt.
type attemptState uint8

const (
	attemptReading        attemptState = iota // waiting to be read, or being read
	attemptQueued                             // at the controller
	attemptWaitingForCall                     // admitted; its run waits for a call to the store
	attemptRunning                            // on the cores
)

// attempt is one attempt of a request, at a server.
type attempt struct {
	id          admission.RequestID
	request     *request
	arrivedAt   time.Duration
	deadline    time.Duration
	fingerprint uint64 // with shedding only
	state       attemptState
	answered    bool // its run may go on
	degraded    bool // it runs without its call
	admittedAt  time.Duration
	call        *call // in flight; nil: none
	calledAt    time.Duration
	answer      func(response)
}

// response is what a server answers to an attempt.
type response struct {
	outcome          history.Outcome
	retryAfter       time.Duration // rejections only; 0: no advice
	noRetryElsewhere bool          // rejections only
	degraded         bool
}

// respond answers the attempt, once.
func (a *attempt) respond(response response) {
	if a.answered {
		return
	}
	a.answered = true
	a.answer(response)
}

// dropCall abandons the call in flight, if there is one: its end is not reported.
func (a *attempt) dropCall() {
	if a.call != nil {
		a.call.dropped = true
		a.call = nil
	}
}

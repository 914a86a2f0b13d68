package model

import (
	"time"

	"falldeal/admission"
	"falldeal/lab/history"
)

// attemptState is the stage that an attempt has reached at its server.
type attemptState uint8

const (
	attemptReading        attemptState = iota // waits for a core that reads it, or is being read
	attemptQueued                             // handed to the controller, not admitted yet
	attemptWaitingForCall                     // admitted; its run waits for the call to the store
	attemptRunning                            // its work is on the cores
)

// attempt is one attempt of a request, at one server.
type attempt struct {
	id          admission.RequestID
	request     *request
	arrivedAt   time.Duration
	deadline    time.Duration
	fingerprint uint64 // identifies the request over its attempts; 0 without shedding
	state       attemptState
	answered    bool           // a response was sent; a run may still continue
	degraded    bool           // its run does without its call to the store
	admittedAt  time.Duration  // when its run was admitted
	call        *call          // its call in flight; nil if there is none
	calledAt    time.Duration  // start of the last call
	answer      func(response) // delivers the response to the front end
}

// response is the answer of a server to an attempt.
type response struct {
	outcome          history.Outcome
	retryAfter       time.Duration // how long the front end should avoid the server; 0: no advice; rejections only
	noRetryElsewhere bool          // asks the front end not to retry at other servers; rejections only
	degraded         bool          // served without the call to the store
}

// respond sends the response to the front end. Only the first response of an attempt is sent.
func (a *attempt) respond(response response) {
	if a.answered {
		return
	}
	a.answered = true
	a.answer(response)
}

// abandonCall abandons the call in flight, if there is one. The end of an abandoned call is not reported to the server.
func (a *attempt) abandonCall() {
	if a.call != nil {
		a.call.abandoned = true
		a.call = nil
	}
}

package server

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"falldeal/admission"
	"falldeal/internal/handover"
)

// entryState is how far the run of an idempotency key has got.
type entryState uint8

const (
	entryPending   entryState = iota // no attempt was run
	entryRunning                     // the holder was run, and has not ended
	entryCompleted                   // that run has ended
)

func (s entryState) String() string {
	switch s {
	case entryPending:
		return "pending"
	case entryRunning:
		return "running"
	case entryCompleted:
		return "completed"
	}
	return unknownName
}

// runResult is how a run ended, as far as other attempts of the same request may learn it.
type runResult struct {
	ok   bool // the run succeeded, with body as its result
	body []byte
}

// idempotencyEntry is what is known of one request with a key: it runs once within its window, however many attempts there
// are, and its result answers the other attempts.
//
// The holder of an entry is the one attempt that may run or was run. The controller calls it the leader of the attempts
// that wait for it, its followers. The owner is the process that the holder belongs to. While the holder has not run,
// another attempt may take its place; the owner of an entry never changes.
type idempotencyEntry struct {
	key       string
	digest    uint64              // of the body that all its attempts carry
	owner     *handover.Link      // the process that has the entry; nil: this one
	holder    admission.RequestID // the attempt that may run, or was run
	attempts  []*activeRequest    // all active ones, in order of arrival
	state     entryState
	reusable  bool             // the run succeeded, and result is retained
	result    []byte           // of the run
	waiters   []*activeRequest // attempts that wait for the end of the run
	windowEnd time.Duration    // on the Unix clock
}

// reusableResult returns the result for further attempts; it is not ok where the run failed, or its result was not
// retained.
func (e *idempotencyEntry) reusableResult() runResult {
	return runResult{ok: e.reusable, body: e.result}
}

// hasRun reports whether an attempt was run.
func (e *idempotencyEntry) hasRun() bool { return e.state != entryPending }

// runsHere reports whether a run of this process has not ended.
func (e *idempotencyEntry) runsHere() bool { return e.state == entryRunning && e.owner == nil }

// expired reports whether the window has ended for an attempt that arrived at that time, on the Unix clock.
func (e *idempotencyEntry) expired(arrivedAt time.Duration) bool {
	return e.hasRun() && arrivedAt > e.windowEnd+windowSlack
}

// known announces the entry to another process.
func (e *idempotencyEntry) known() handover.KeyKnown {
	return handover.KeyKnown{IdempotencyKey: e.key, Digest: e.digest, WindowEnd: e.windowEnd}
}

// messages announces the entry, and the end of its run, to another process.
func (e *idempotencyEntry) messages() []handover.Message {
	messages := []handover.Message{e.known()}
	if e.state == entryCompleted {
		messages = append(messages, handover.RunCompleted{
			IdempotencyKey: e.key,
			OK:             e.reusable,
			Result:         e.result,
		})
	}
	return messages
}

// takeWaiters returns the attempts that wait for the end of the run, once.
func (e *idempotencyEntry) takeWaiters() []*activeRequest {
	waiters := e.waiters
	e.waiters = nil
	return waiters
}

// bodyDigest identifies what an attempt asks for. All attempts of one request carry the same body, while their class
// may have been renamed. The digest is the same in every process.
func bodyDigest(attempt *Attempt) uint64 {
	sum := sha256.Sum256(attempt.Body)
	return binary.BigEndian.Uint64(sum[:])
}

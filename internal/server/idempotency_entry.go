package server

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"falldeal/admission"
	"falldeal/internal/deadline"
	"falldeal/internal/handover"
)

// entryState is the state of the run of an idempotency key.
type entryState uint8

const (
	entryPending   entryState = iota // no attempt was run
	entryRunning                     // the holder was run, and this process does not know that its run has ended
	entryCompleted                   // the run of the holder has ended
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

// runResult is the outcome of a run, as it is reported to other attempts of the same request.
type runResult struct {
	ok   bool // the run succeeded, and body is its result
	body []byte
}

// idempotencyEntry is what is known about one request with an idempotency key. The request is run at most once within its
// window, however many attempts there are, and the result of that run answers the other attempts.
//
// The holder of an entry is the one attempt that may run or was run. The controller calls it the leader of the attempts
// that wait for it, its followers. The owner is the process that the holder belongs to. Before the holder is run, another
// attempt may take its place. The owner of an entry never changes.
type idempotencyEntry struct {
	key       string
	digest    uint64              // of the body, which all attempts share
	owner     *handover.Link      // process that owns the entry; nil for this one
	holder    admission.RequestID // attempt that may run, or was run
	attempts  []*activeRequest    // active attempts, in order of arrival
	state     entryState          // of the holder's run
	reusable  bool                // the run succeeded, and its result is retained
	result    []byte              // of the run, if it is retained
	waiters   []*activeRequest    // attempts that wait for the end of the run
	windowEnd time.Duration       // end of the window; Unix time
	expiry    *deadline.Entry     // drops the entry; nil while it has no run that has ended here
}

// reusableResult returns the result for further attempts. It is not ok if the run failed or its result was not retained.
func (e *idempotencyEntry) reusableResult() runResult {
	return runResult{ok: e.reusable, body: e.result}
}

// hasRun reports whether an attempt was run, or may have been run by another process.
func (e *idempotencyEntry) hasRun() bool { return e.state != entryPending }

// runningLocally reports whether the entry has a run of this process that has not ended.
func (e *idempotencyEntry) runningLocally() bool { return e.state == entryRunning && e.owner == nil }

// expired reports whether the window has ended for an attempt that arrived at the given time, on the Unix clock.
func (e *idempotencyEntry) expired(arrivedAt time.Duration) bool {
	return e.hasRun() && arrivedAt > e.windowEnd+windowSlack
}

// known returns the message that announces the entry to another process.
func (e *idempotencyEntry) known() handover.KeyKnown {
	return handover.KeyKnown{IdempotencyKey: e.key, Digest: e.digest, WindowEnd: e.windowEnd}
}

// takeWaiters returns the attempts that wait for the end of the run, and removes them from the entry.
func (e *idempotencyEntry) takeWaiters() []*activeRequest {
	waiters := e.waiters
	e.waiters = nil
	return waiters
}

// bodyDigest returns a digest of the body of an attempt, which identifies what the attempt asks for. All attempts of one
// request carry the same body, whereas their class may have been renamed. The digest is the same in every process.
func bodyDigest(attempt *Attempt) uint64 {
	sum := sha256.Sum256(attempt.Body)
	return binary.BigEndian.Uint64(sum[:])
}

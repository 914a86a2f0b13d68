package server

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"falldeal/admission"
	"falldeal/internal/handover"
)

const (
	// windowSlack allows for an attempt that was sent a little after the time it carries.
	windowSlack = 50 * time.Millisecond
	// resultMemoryDivisor: one byte in this many of the memory limit may hold results for reuse.
	resultMemoryDivisor = 8
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
	return "unknown"
}

// idempotencyEntry is what is known of one request with a key: it runs once within its window, however often it is
// tried, and its result answers the other attempts.
type idempotencyEntry struct {
	key       string
	digest    uint64              // of the body that all its attempts carry
	owner     *handover.Link      // the process that has the entry; nil: this one
	holder    admission.RequestID // the attempt that may run, or was run
	attempts  []*activeRequest    // all active ones, in order of arrival
	state     entryState
	reusable  bool // the run succeeded, and result is retained
	result    []byte
	waiters   []*activeRequest // attempts that wait for the end of the run
	windowEnd time.Duration    // on the Unix clock
}

// hasRun reports whether an attempt was run.
func (e *idempotencyEntry) hasRun() bool { return e.state != entryPending }

// knownMessage announces the entry to another process.
func (e *idempotencyEntry) knownMessage() handover.Message {
	return handover.Message{Kind: handover.Known, IdempotencyKey: e.key, Digest: e.digest, At: e.windowEnd}
}

// messages announces the entry, and the end of its run, to another process.
func (e *idempotencyEntry) messages() []handover.Message {
	messages := []handover.Message{e.knownMessage()}
	if e.state == entryCompleted {
		messages = append(messages, handover.Message{
			Kind:           handover.Completed,
			IdempotencyKey: e.key,
			OK:             e.reusable,
			Body:           e.result,
		})
	}
	return messages
}

// idempotencyTable finds the attempts of one request by their key. The loop owns it.
type idempotencyTable struct {
	entries        map[string]*idempotencyEntry         // by key
	byRequest      map[*activeRequest]*idempotencyEntry // of active requests
	resultBytes    int                                  // size of all retained results
	maxResultBytes int
	publish        func(handover.Message) // notifies the other processes of a change
}

// newIdempotencyTable returns a table for a process with that memory limit.
func newIdempotencyTable(memoryMB int) idempotencyTable {
	return idempotencyTable{
		entries:        map[string]*idempotencyEntry{},
		byRequest:      map[*activeRequest]*idempotencyEntry{},
		maxResultBytes: memoryMB << 20 / resultMemoryDivisor,
		publish:        func(handover.Message) {},
	}
}

// bodyDigest identifies what an attempt asks for. All attempts of one request carry the same body, while their class
// may have been renamed. The digest is the same in every process.
func bodyDigest(attempt *Attempt) uint64 {
	sum := sha256.Sum256(attempt.Body)
	return binary.BigEndian.Uint64(sum[:])
}

// conflicts reports whether the key of r is that of a known request with another body, whose result the sender of r
// must not get.
func (t *idempotencyTable) conflicts(r *activeRequest) bool {
	e := t.lookup(r)
	return e != nil && e.digest != bodyDigest(&r.attempt)
}

// lookup returns the entry that r falls under, or nil.
func (t *idempotencyTable) lookup(r *activeRequest) *idempotencyEntry {
	if e := t.entries[r.attempt.IdempotencyKey]; e != nil && !t.expired(e, r.attempt.ArrivedAt) {
		return e
	}
	return nil
}

// expired reports whether the window of e has ended for an attempt that arrived at that time.
func (t *idempotencyTable) expired(e *idempotencyEntry, arrivedAt time.Duration) bool {
	return e.hasRun() && arrivedAt > e.windowEnd+windowSlack
}

func (t *idempotencyTable) size() int { return len(t.entries) }

// register adds r, and returns the attempt that it retries, or 0 for a first one.
func (t *idempotencyTable) register(request *activeRequest) admission.RequestID {
	if e := t.lookup(request); e != nil {
		t.addAttempt(e, request)
		return e.holder
	}
	key := request.attempt.IdempotencyKey
	if expired := t.entries[key]; expired != nil {
		t.drop(expired)
	}
	e := &idempotencyEntry{key: key, digest: bodyDigest(&request.attempt)}
	t.addAttempt(e, request)
	t.setHolder(e, request)
	return 0
}

func (t *idempotencyTable) addAttempt(e *idempotencyEntry, r *activeRequest) {
	t.byRequest[r] = e
	e.attempts = append(e.attempts, r)
}

// setHolder makes r the holder of an entry. The window is counted from its arrival.
func (t *idempotencyTable) setHolder(entry *idempotencyEntry, request *activeRequest) {
	if entry.holder == request.id {
		return
	}
	entry.holder, entry.windowEnd = request.id, request.attempt.ArrivedAt+request.idempotencyWindow
	t.entries[entry.key] = entry
	t.publish(entry.knownMessage())
}

// adopt adds, or renews, a key that another process has, as if holder had been run under it.
func (t *idempotencyTable) adopt(
	owner *handover.Link, message handover.Message, holder admission.RequestID,
) *idempotencyEntry {
	entry := t.entries[message.IdempotencyKey]
	if entry == nil || entry.owner != owner {
		if entry != nil {
			t.drop(entry)
		}
		entry = &idempotencyEntry{key: message.IdempotencyKey, owner: owner, holder: holder}
		t.entries[message.IdempotencyKey] = entry
	}
	t.resultBytes -= len(entry.result)
	entry.digest, entry.windowEnd, entry.state = message.Digest, message.At, entryRunning
	entry.reusable, entry.result = false, nil
	return entry
}

// retain makes r the holder of its entry, unless that has a run already.
func (t *idempotencyTable) retain(r *activeRequest) {
	if e := t.byRequest[r]; e != nil && !e.hasRun() {
		t.setHolder(e, r)
	}
}

// mayRun reports whether a run of r would be the first within the window.
func (t *idempotencyTable) mayRun(r *activeRequest) bool {
	e := t.byRequest[r]
	return e == nil || !e.hasRun()
}

// markRunning records that r is run: from now on the entry stays that of r.
func (t *idempotencyTable) markRunning(r *activeRequest) {
	if e := t.byRequest[r]; e != nil {
		t.setHolder(e, r)
		e.state = entryRunning
	}
}

// awaitResult has a request wait for the run that it retries. If that has ended, or never was, it returns the result
// instead; ok reports whether there is one.
func (t *idempotencyTable) awaitResult(request *activeRequest) (result []byte, ok, ended bool) {
	entry := t.byRequest[request]
	switch {
	case entry == nil:
		return nil, false, true
	case entry.state == entryRunning:
		entry.waiters = append(entry.waiters, request)
		return nil, false, false
	}
	return entry.result, entry.reusable, true
}

// runEnded records the outcome of the run of a request, and returns the attempts that waited for it.
func (t *idempotencyTable) runEnded(request *activeRequest, outcome admission.Outcome, result []byte) []*activeRequest {
	entry := t.byRequest[request]
	if entry == nil || entry.holder != request.id || !entry.hasRun() {
		return nil
	}
	if outcome == admission.OutcomeNotStarted {
		waiters := entry.waiters
		entry.waiters, entry.state = nil, entryPending
		return waiters
	}
	ok := outcome == admission.OutcomeOK
	t.publish(handover.Message{Kind: handover.Completed, IdempotencyKey: entry.key, OK: ok, Body: result})
	return t.complete(entry, ok, result)
}

// complete records the end of the run of an entry, and returns the attempts that waited for it. The result is retained
// while there is memory for it.
func (t *idempotencyTable) complete(entry *idempotencyEntry, ok bool, result []byte) []*activeRequest {
	waiters := entry.waiters
	entry.waiters, entry.state = nil, entryCompleted
	entry.reusable = ok && t.resultBytes+len(result) <= t.maxResultBytes
	if entry.reusable {
		entry.result = result
		t.resultBytes += len(result)
	}
	return waiters
}

// hasLocalRun reports whether a run under any key has not ended in this process.
func (t *idempotencyTable) hasLocalRun() bool {
	for _, e := range t.byRequest {
		if e.state == entryRunning && e.owner == nil {
			return true
		}
	}
	return false
}

// release removes a request. It returns an entry that has to stay until its window ends; one without a run is dropped
// with its last attempt.
func (t *idempotencyTable) release(request *activeRequest) *idempotencyEntry {
	entry := t.byRequest[request]
	delete(t.byRequest, request)
	if entry == nil {
		return nil
	}
	entry.attempts = slices.DeleteFunc(entry.attempts, func(other *activeRequest) bool { return other == request })
	switch {
	case entry.holder != request.id:
		return nil
	case entry.hasRun():
		return entry
	case len(entry.attempts) > 0:
		// An attempt that comes before the controller has named the next one must not be taken for the first: both
		// would run.
		t.setHolder(entry, entry.attempts[0])
		return nil
	}
	t.drop(entry)
	t.publish(handover.Message{Kind: handover.Released, IdempotencyKey: entry.key})
	return nil
}

// drop removes an entry and its result.
func (t *idempotencyTable) drop(e *idempotencyEntry) {
	if t.entries[e.key] == e {
		delete(t.entries, e.key)
	}
	t.resultBytes -= len(e.result)
	e.reusable, e.result = false, nil
}

package server

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"falldeal/admission"
	"falldeal/internal/handover"
)

// Keys: which tries are of one request. A request with an effect runs once within its window, however
// often it comes; its result answers the others.

const (
	windowSlack         = 50 * time.Millisecond // a try was written a little after its own time
	resultMemoryDivisor = 8                     // one byte in this many of the memory limit may hold results for reuse
)

// idempotencyEntry is what is known of one request with an effect.
type idempotencyEntry struct {
	key       string
	digest    uint64              // of what all its tries ask for
	owner     *handover.Link      // the process that has the entry; nil: this one
	holder    admission.RequestID // the try that has it
	attempts  []*activeRequest    // that are in hand under it, in order of arrival
	ran       bool                // the holder was run
	completed bool                // that run has ended
	reusable  bool                // and its result is kept
	result    []byte
	waiters   []*activeRequest // for that end
	windowEnd time.Duration    // end of the window, on the Unix clock
}

type idempotencyTable struct {
	entries        map[string]*idempotencyEntry
	byRequest      map[*activeRequest]*idempotencyEntry // of live requests
	resultBytes    int                                  // of results
	maxResultBytes int                                  // such bytes
	publish        func(handover.Message)               // tells other processes of a change
}

// newIdempotencyTable returns a table for a process that may take so much memory.
func newIdempotencyTable(memoryMB int) idempotencyTable {
	return idempotencyTable{entries: map[string]*idempotencyEntry{}, byRequest: map[*activeRequest]*idempotencyEntry{}, maxResultBytes: memoryMB << 20 / resultMemoryDivisor,
		publish: func(handover.Message) {}}
}

// bodyDigest stands for what a try asks for. All tries of one request carry the same body; the class may have got
// another name since the first. It means the same in every process.
func (t *idempotencyTable) bodyDigest(try Attempt) uint64 {
	sum := sha256.Sum256(try.Body)
	return binary.BigEndian.Uint64(sum[:])
}

// conflicts reports whether the key of r is that of a known request which asks for something else. The
// result of that one is nothing for the sender of r.
func (t *idempotencyTable) conflicts(r *activeRequest) bool {
	e := t.lookup(r)
	return e != nil && e.digest != t.bodyDigest(r.attempt)
}

// lookup returns the entry that r falls under, if there is one.
func (t *idempotencyTable) lookup(r *activeRequest) *idempotencyEntry {
	if e := t.entries[r.attempt.IdempotencyKey]; e != nil && !t.expired(e, r.attempt.ArrivedAt) {
		return e
	}
	return nil
}

// expired reports whether the window of e is over for a try that arrived at that time.
func (t *idempotencyTable) expired(e *idempotencyEntry, at time.Duration) bool {
	return e.ran && at > e.windowEnd+windowSlack
}

func (t *idempotencyTable) size() int { return len(t.entries) }

// register enters r, and returns the try that it repeats, or 0 for a first try. Tries that were taken in
// together know each other too.
func (t *idempotencyTable) register(request *activeRequest) admission.RequestID {
	if e := t.lookup(request); e != nil {
		t.addAttempt(e, request)
		return e.holder
	}
	if past := t.entries[request.attempt.IdempotencyKey]; past != nil {
		t.drop(past)
	}
	e := &idempotencyEntry{key: request.attempt.IdempotencyKey, digest: t.bodyDigest(request.attempt)}
	t.addAttempt(e, request)
	t.setHolder(e, request)
	return 0
}

// addAttempt notes that r is one of the tries of e.
func (t *idempotencyTable) addAttempt(e *idempotencyEntry, r *activeRequest) {
	t.byRequest[r] = e
	e.attempts = append(e.attempts, r)
}

// setHolder gives r the entry.
func (t *idempotencyTable) setHolder(entry *idempotencyEntry, r *activeRequest) {
	if entry.holder == r.id {
		return
	}
	entry.holder, entry.windowEnd = r.id, r.attempt.ArrivedAt+r.idempotencyWindow
	t.entries[entry.key] = entry
	t.publish(entry.knownMessage())
}

func (e *idempotencyEntry) knownMessage() handover.Message {
	return handover.Message{Kind: handover.Known, IdempotencyKey: e.key, Digest: e.digest, At: e.windowEnd}
}

// messages is what there is to be told of e.
func (e *idempotencyEntry) messages() []handover.Message {
	if !e.completed {
		return []handover.Message{e.knownMessage()}
	}
	return []handover.Message{e.knownMessage(), {Kind: handover.Completed, IdempotencyKey: e.key, OK: e.reusable, Body: e.result}}
}

// adopt enters, or renews, a key that another process has, as if holder had been run under it.
func (t *idempotencyTable) adopt(from *handover.Link, message handover.Message, holder admission.RequestID) *idempotencyEntry {
	entry := t.entries[message.IdempotencyKey]
	if entry == nil || entry.owner != from {
		if entry != nil {
			t.drop(entry)
		}
		entry = &idempotencyEntry{key: message.IdempotencyKey, owner: from, holder: holder, ran: true}
		t.entries[message.IdempotencyKey] = entry
	}
	t.resultBytes -= len(entry.result)
	entry.digest, entry.windowEnd, entry.completed, entry.reusable, entry.result = message.Digest, message.At, false, false, nil
	return entry
}

// retain gives r the entry for as long as it is held, unless a run has it already.
func (t *idempotencyTable) retain(r *activeRequest) {
	if e := t.byRequest[r]; e != nil && !e.ran {
		t.setHolder(e, r)
	}
}

// mayRun reports whether a run of r would be the first within the window.
func (t *idempotencyTable) mayRun(r *activeRequest) bool {
	e := t.byRequest[r]
	return e == nil || !e.ran
}

// markRunning notes that r is run: from now on the entry is that of r.
func (t *idempotencyTable) markRunning(r *activeRequest) {
	if e := t.byRequest[r]; e != nil {
		t.setHolder(e, r)
		e.ran = true
	}
}

// awaitResult has r wait for the run that it repeats. Where that is over, or never was, it says so.
func (t *idempotencyTable) awaitResult(request *activeRequest) (result []byte, ok, over bool) {
	entry := t.byRequest[request]
	if entry == nil || !entry.ran || entry.completed {
		if entry != nil && entry.reusable {
			return entry.result, true, true
		}
		return nil, false, true
	}
	entry.waiters = append(entry.waiters, request)
	return nil, false, false
}

// runEnded notes how the run of r ended, and returns the tries that waited for it.
func (t *idempotencyTable) runEnded(r *activeRequest, outcome admission.Outcome, result []byte) []*activeRequest {
	entry := t.byRequest[r]
	if entry == nil || entry.holder != r.id || !entry.ran {
		return nil
	}
	if outcome == admission.OutcomeNotStarted {
		waiters := entry.waiters
		entry.waiters, entry.ran = nil, false // nothing was run
		return waiters
	}
	t.publish(handover.Message{Kind: handover.Completed, IdempotencyKey: entry.key, OK: outcome == admission.OutcomeOK, Body: result})
	return t.complete(entry, outcome == admission.OutcomeOK, result)
}

// complete notes the end of the run of e, and returns the tries that waited for it.
func (t *idempotencyTable) complete(e *idempotencyEntry, ok bool, result []byte) []*activeRequest {
	waiters := e.waiters
	e.waiters, e.completed = nil, true
	if e.reusable = ok && t.resultBytes+len(result) <= t.maxResultBytes; e.reusable {
		e.result = result
		t.resultBytes += len(result)
	}
	return waiters
}

// hasLocalRun reports whether a run under any key has not ended in this process.
func (t *idempotencyTable) hasLocalRun() bool {
	for _, e := range t.byRequest {
		if e.ran && !e.completed && e.owner == nil {
			return true
		}
	}
	return false
}

// release notes that nothing more is to come about r. It returns an entry that has to stay until its
// window is over; one that no run has goes with its holder.
func (t *idempotencyTable) release(request *activeRequest) *idempotencyEntry {
	entry := t.byRequest[request]
	delete(t.byRequest, request)
	if entry == nil {
		return nil
	}
	entry.attempts = slices.DeleteFunc(entry.attempts, func(other *activeRequest) bool { return other == request })
	if entry.holder != request.id {
		return nil
	}
	if !entry.ran {
		// A try that comes before the controller has named an heir must not be taken for the first: both would run.
		if len(entry.attempts) > 0 {
			t.setHolder(entry, entry.attempts[0])
			return nil
		}
		t.drop(entry)
		t.publish(handover.Message{Kind: handover.Released, IdempotencyKey: entry.key})
		return nil
	}
	return entry
}

// drop forgets an entry and its result.
func (t *idempotencyTable) drop(e *idempotencyEntry) {
	if t.entries[e.key] == e {
		delete(t.entries, e.key)
	}
	t.resultBytes -= len(e.result)
	e.reusable, e.result = false, nil
}

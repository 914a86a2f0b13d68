package server

import (
	"cmp"
	"slices"
	"time"

	"falldeal/admission"
	"falldeal/internal/deadline"
	"falldeal/internal/handover"
)

const (
	// windowSlack extends each window, because an attempt may be sent a little after the arrival time that it carries.
	windowSlack = 50 * time.Millisecond
	// resultMemoryDivisor is the divisor of the memory limit that yields the memory for retained results.
	resultMemoryDivisor = 8
)

// maxResultBytes returns how much memory a process may use for retained results, if the memory limit is divided among the
// given number of processes. Each of them gets a part of it, and less of that for results: it also holds the keys of the
// others, and has fixed costs for tables and the Go runtime.
func maxResultBytes(memoryMB, processes int) int {
	return memoryMB << 20 / resultMemoryDivisor / (processes * processes)
}

// idempotencyTable finds the attempts of one request by their key, and ensures that at most one of them is run within the
// key's window. The window starts at the arrival of the attempt that is run. The loop owns it.
type idempotencyTable struct {
	entries        map[string]*idempotencyEntry         // by key
	byRequest      map[*activeRequest]*idempotencyEntry // entries of active requests
	resultBytes    int                                  // total size of all retained results
	maxResultBytes int                                  // upper bound of resultBytes
	observer       keyObserver                          // announces keys to the other processes of this image server
	deadlines      *deadline.Queue                      // holds the expiries of entries
}

// keyObserver receives the changes of keys that this process owns.
type keyObserver interface {
	keyChanged(key string) // it was run, or dropped without a run
	runCompleted(key string, result runResult)
	runNotStarted(key string) // a further attempt may be run
	keyForgotten(key string)  // dropped after a run
}

// noObserver is the keyObserver of a process that is alone.
type noObserver struct{}

func (noObserver) keyChanged(string)              {}
func (noObserver) runCompleted(string, runResult) {}
func (noObserver) runNotStarted(string)           {}
func (noObserver) keyForgotten(string)            {}

// newIdempotencyTable returns an empty table that retains results of up to maxResultBytes.
func newIdempotencyTable(maxResultBytes int) idempotencyTable {
	return idempotencyTable{
		entries:        map[string]*idempotencyEntry{},
		byRequest:      map[*activeRequest]*idempotencyEntry{},
		maxResultBytes: maxResultBytes,
		observer:       noObserver{},
		deadlines:      deadline.New(),
	}
}

// conflicts reports whether the key of a request belongs to a known request with another body. The sender of this request
// must not get the result of that one.
func (t *idempotencyTable) conflicts(request *activeRequest) bool {
	entry := t.lookup(request)
	return entry != nil && entry.digest != bodyDigest(&request.attempt)
}

// lookup returns the entry that applies to a request, or nil if there is none.
func (t *idempotencyTable) lookup(request *activeRequest) *idempotencyEntry {
	entry := t.entries[request.attempt.IdempotencyKey]
	if entry == nil || entry.expired(request.attempt.ArrivedAt) {
		return nil
	}
	return entry
}

// ownedBy returns the entry of a key if the given process owns it, or nil.
func (t *idempotencyTable) ownedBy(owner *handover.Link, key string) *idempotencyEntry {
	entry := t.entries[key]
	if entry == nil || entry.owner != owner {
		return nil
	}
	return entry
}

// countOwnedBy returns the number of entries that the given process owns.
func (t *idempotencyTable) countOwnedBy(owner *handover.Link) int {
	count := 0
	for _, entry := range t.entries {
		if entry.owner == owner {
			count++
		}
	}
	return count
}

// dropOwnedBy removes the entries that the given process owns.
func (t *idempotencyTable) dropOwnedBy(owner *handover.Link) {
	for _, entry := range t.entries {
		if entry.owner == owner {
			t.drop(entry)
		}
	}
}

func (t *idempotencyTable) size() int { return len(t.entries) }

// register adds a request. It returns the attempt that the request retries, or 0 if the request is a first attempt.
func (t *idempotencyTable) register(request *activeRequest) admission.RequestID {
	if entry := t.lookup(request); entry != nil {
		t.addAttempt(entry, request)
		return entry.holder
	}
	key := request.attempt.IdempotencyKey
	if expired := t.entries[key]; expired != nil {
		t.drop(expired)
	}
	entry := &idempotencyEntry{key: key, digest: bodyDigest(&request.attempt)}
	t.addAttempt(entry, request)
	t.setHolder(entry, request)
	return 0
}

func (t *idempotencyTable) addAttempt(entry *idempotencyEntry, request *activeRequest) {
	t.byRequest[request] = entry
	entry.attempts = append(entry.attempts, request)
}

// setHolder makes a request the holder of an entry. The window then starts at the arrival of that request.
func (t *idempotencyTable) setHolder(entry *idempotencyEntry, request *activeRequest) {
	if entry.holder == request.id {
		return
	}
	entry.holder = request.id
	entry.windowEnd = request.attempt.ArrivedAt + request.idempotencyWindow
	t.entries[entry.key] = entry
}

// adopt adds or renews the entry of a key that another process owns. The entry counts as running from the start, because
// its owner may have run an attempt: no attempt is run here, and retries wait for the result that the owner sends. holder
// is an ID that no request here has. It makes the controller treat every attempt with the key as a retry.
func (t *idempotencyTable) adopt(
	owner *handover.Link, known handover.KeyKnown, holder admission.RequestID,
) *idempotencyEntry {
	entry := t.entries[known.IdempotencyKey]
	if entry == nil || entry.owner != owner {
		if entry != nil {
			t.drop(entry)
		}
		entry = &idempotencyEntry{key: known.IdempotencyKey, owner: owner, holder: holder}
		t.entries[known.IdempotencyKey] = entry
	}
	t.discardResult(entry)
	entry.digest = known.Digest
	entry.windowEnd = known.WindowEnd
	entry.state = entryRunning
	return entry
}

// retain makes a request the holder of its entry, unless the entry already has a run.
func (t *idempotencyTable) retain(request *activeRequest) {
	if entry := t.byRequest[request]; entry != nil && !entry.hasRun() {
		t.setHolder(entry, request)
	}
}

// mayRun reports whether a run of a request would be the first one within its window.
func (t *idempotencyTable) mayRun(request *activeRequest) bool {
	entry := t.byRequest[request]
	return entry == nil || !entry.hasRun()
}

// markRunning records that a request is run. From then on, the holder of its entry does not change.
func (t *idempotencyTable) markRunning(request *activeRequest) {
	if entry := t.byRequest[request]; entry != nil {
		t.setHolder(entry, request)
		entry.state = entryRunning
		t.observer.keyChanged(entry.key)
	}
}

// awaitResult makes a request wait for the run that it retries. If that run has ended, or there was none, it returns the
// result instead.
func (t *idempotencyTable) awaitResult(request *activeRequest) (result runResult, ended bool) {
	entry := t.byRequest[request]
	switch {
	case entry == nil:
		return runResult{}, true
	case entry.state == entryRunning:
		entry.waiters = append(entry.waiters, request)
		return runResult{}, false
	}
	return entry.reusableResult(), true
}

// runEnded records the outcome of the run of a request, and returns the attempts that waited for it.
func (t *idempotencyTable) runEnded(request *activeRequest, outcome admission.Outcome, body []byte) []*activeRequest {
	entry := t.byRequest[request]
	if entry == nil || entry.holder != request.id || !entry.hasRun() {
		return nil
	}
	if outcome == admission.OutcomeNotStarted {
		entry.state = entryPending
		t.observer.runNotStarted(entry.key)
		return entry.takeWaiters()
	}
	result := runResult{ok: outcome == admission.OutcomeOK, body: body}
	waiters := t.complete(entry, result)
	t.observer.runCompleted(entry.key, result)
	return waiters
}

// complete records the end of the run of an entry, and returns the attempts that waited for it. A successful result is
// retained if there is memory for it.
func (t *idempotencyTable) complete(entry *idempotencyEntry, result runResult) []*activeRequest {
	entry.state = entryCompleted
	t.discardResult(entry)
	if result.ok && t.resultBytes+len(result.body) <= t.maxResultBytes {
		entry.reusable = true
		entry.result = result.body
		t.resultBytes += len(result.body)
	}
	return entry.takeWaiters()
}

// hasLocalRun reports whether this process has a run with an idempotency key that has not ended.
func (t *idempotencyTable) hasLocalRun() bool {
	for _, entry := range t.byRequest {
		if entry.runningLocally() {
			return true
		}
	}
	return false
}

// release removes a request from the table. It returns the request's entry if that must stay until its window ends. An
// entry without a run is dropped with its last attempt.
func (t *idempotencyTable) release(request *activeRequest) *idempotencyEntry {
	entry := t.byRequest[request]
	delete(t.byRequest, request)
	if entry == nil {
		return nil
	}
	isRequest := func(other *activeRequest) bool { return other == request }
	entry.attempts = slices.DeleteFunc(entry.attempts, isRequest)
	entry.waiters = slices.DeleteFunc(entry.waiters, isRequest)
	switch {
	case entry.holder != request.id:
		return nil
	case entry.hasRun():
		return entry
	case len(entry.attempts) > 0:
		// The entry must have a holder even before the controller names the next one. Otherwise an attempt that arrives
		// before that would be treated as a first one, and both would run.
		t.setHolder(entry, entry.attempts[0])
		return nil
	}
	t.drop(entry)
	t.observer.keyChanged(entry.key)
	return nil
}

// limitResults sets how much memory results may use from now on. If they use more, the results whose windows end first are
// discarded: their clients are the least likely to send another attempt.
func (t *idempotencyTable) limitResults(maxResultBytes int) {
	t.maxResultBytes = maxResultBytes
	if t.resultBytes <= maxResultBytes {
		return
	}
	var retaining []*idempotencyEntry
	for _, entry := range t.entries {
		if entry.reusable {
			retaining = append(retaining, entry)
		}
	}
	slices.SortFunc(retaining, func(a, b *idempotencyEntry) int { return cmp.Compare(a.windowEnd, b.windowEnd) })
	for _, entry := range retaining {
		if t.resultBytes <= maxResultBytes {
			return
		}
		t.discardResult(entry)
	}
}

// drop removes an entry and its result.
func (t *idempotencyTable) drop(entry *idempotencyEntry) {
	if t.entries[entry.key] == entry {
		delete(t.entries, entry.key)
		if entry.hasRun() {
			t.observer.keyForgotten(entry.key)
		}
	}
	t.deadlines.Cancel(entry.expiry)
	entry.expiry = nil
	t.discardResult(entry)
}

// discardResult frees the result of an entry.
func (t *idempotencyTable) discardResult(entry *idempotencyEntry) {
	t.resultBytes -= len(entry.result)
	entry.reusable = false
	entry.result = nil
}

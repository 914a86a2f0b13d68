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
	keySlack = 50 * time.Millisecond // a try was written a little after its own time
	keyShare = 8                     // one byte in this many of the memory limit may hold results for reuse
)

// keyEntry is what is known of one request with an effect.
type keyEntry struct {
	once   string
	digest uint64              // of what all its tries ask for
	from   *handover.Link      // the process that has the entry; nil: this one
	holder admission.RequestID // the try that has it
	tries  []*request          // that are in hand under it, in order of arrival
	ran    bool                // the holder was run
	over   bool                // that run has ended
	ok     bool                // and its result is kept
	result []byte
	waits  []*request    // for that end
	closes time.Duration // end of the window, on the Unix clock
}

type keyTable struct {
	entries map[string]*keyEntry
	of      map[*request]*keyEntry // of live requests
	bytes   int                    // of results
	most    int                    // such bytes
	tell    func(handover.Message) // tells other processes of a change
}

// newKeyTable returns a table for a process that may take so much memory.
func newKeyTable(memoryMB int) keyTable {
	return keyTable{entries: map[string]*keyEntry{}, of: map[*request]*keyEntry{}, most: memoryMB << 20 / keyShare,
		tell: func(handover.Message) {}}
}

// digest stands for what a try asks for. All tries of one request carry the same body; the class may have got
// another name since the first. It means the same in every process.
func (t *keyTable) digest(try Attempt) uint64 {
	sum := sha256.Sum256(try.Body)
	return binary.BigEndian.Uint64(sum[:])
}

// conflicts reports whether the key of r is that of a known request which asks for something else. The
// result of that one is nothing for the sender of r.
func (t *keyTable) conflicts(r *request) bool {
	e := t.known(r)
	return e != nil && e.digest != t.digest(r.try)
}

// known returns the entry that r falls under, if there is one.
func (t *keyTable) known(r *request) *keyEntry {
	if e := t.entries[r.try.IdempotencyKey]; e != nil && !t.past(e, r.try.ArrivedAt) {
		return e
	}
	return nil
}

// past reports whether the window of e is over for a try that arrived at that time.
func (t *keyTable) past(e *keyEntry, at time.Duration) bool { return e.ran && at > e.closes+keySlack }

func (t *keyTable) size() int { return len(t.entries) }

// take enters r, and returns the try that it repeats, or 0 for a first try. Tries that were taken in
// together know each other too.
func (t *keyTable) take(r *request) admission.RequestID {
	if e := t.known(r); e != nil {
		t.enter(e, r)
		return e.holder
	}
	if past := t.entries[r.try.IdempotencyKey]; past != nil {
		t.drop(past)
	}
	e := &keyEntry{once: r.try.IdempotencyKey, digest: t.digest(r.try)}
	t.enter(e, r)
	t.hold(e, r)
	return 0
}

// enter notes that r is one of the tries of e.
func (t *keyTable) enter(e *keyEntry, r *request) {
	t.of[r] = e
	e.tries = append(e.tries, r)
}

// hold gives r the entry.
func (t *keyTable) hold(e *keyEntry, r *request) {
	if e.holder == r.id {
		return
	}
	e.holder, e.closes = r.id, r.try.ArrivedAt+r.window
	t.entries[e.once] = e
	t.tell(e.known())
}

func (e *keyEntry) known() handover.Message {
	return handover.Message{Kind: handover.Known, IdempotencyKey: e.once, Digest: e.digest, At: e.closes}
}

// all is what there is to be told of e.
func (e *keyEntry) all() []handover.Message {
	if !e.over {
		return []handover.Message{e.known()}
	}
	return []handover.Message{e.known(), {Kind: handover.Completed, IdempotencyKey: e.once, OK: e.ok, Body: e.result}}
}

// adopt enters, or renews, a key that another process has, as if holder had been run under it.
func (t *keyTable) adopt(from *handover.Link, m handover.Message, holder admission.RequestID) *keyEntry {
	e := t.entries[m.IdempotencyKey]
	if e == nil || e.from != from {
		if e != nil {
			t.drop(e)
		}
		e = &keyEntry{once: m.IdempotencyKey, from: from, holder: holder, ran: true}
		t.entries[m.IdempotencyKey] = e
	}
	t.bytes -= len(e.result)
	e.digest, e.closes, e.over, e.ok, e.result = m.Digest, m.At, false, false, nil
	return e
}

// keep gives r the entry for as long as it is held, unless a run has it already.
func (t *keyTable) keep(r *request) {
	if e := t.of[r]; e != nil && !e.ran {
		t.hold(e, r)
	}
}

// mayRun reports whether a run of r would be the first within the window.
func (t *keyTable) mayRun(r *request) bool {
	e := t.of[r]
	return e == nil || !e.ran
}

// ran notes that r is run: from now on the entry is that of r.
func (t *keyTable) ran(r *request) {
	if e := t.of[r]; e != nil {
		t.hold(e, r)
		e.ran = true
	}
}

// join has r wait for the run that it repeats. Where that is over, or never was, it says so.
func (t *keyTable) join(r *request) (result []byte, ok, over bool) {
	e := t.of[r]
	if e == nil || !e.ran || e.over {
		if e != nil && e.ok {
			return e.result, true, true
		}
		return nil, false, true
	}
	e.waits = append(e.waits, r)
	return nil, false, false
}

// ended notes how the run of r ended, and returns the tries that waited for it.
func (t *keyTable) ended(r *request, o admission.Outcome, result []byte) []*request {
	e := t.of[r]
	if e == nil || e.holder != r.id || !e.ran {
		return nil
	}
	if o == admission.OutcomeNotStarted {
		waits := e.waits
		e.waits, e.ran = nil, false // nothing was run
		return waits
	}
	t.tell(handover.Message{Kind: handover.Completed, IdempotencyKey: e.once, OK: o == admission.OutcomeOK, Body: result})
	return t.end(e, o == admission.OutcomeOK, result)
}

// end notes the end of the run of e, and returns the tries that waited for it.
func (t *keyTable) end(e *keyEntry, ok bool, result []byte) []*request {
	waits := e.waits
	e.waits, e.over = nil, true
	if e.ok = ok && t.bytes+len(result) <= t.most; e.ok {
		e.result = result
		t.bytes += len(result)
	}
	return waits
}

// runs reports whether a run under any key has not ended in this process.
func (t *keyTable) runs() bool {
	for _, e := range t.of {
		if e.ran && !e.over && e.from == nil {
			return true
		}
	}
	return false
}

// left notes that nothing more is to come about r. It returns an entry that has to stay until its
// window is over; one that no run has goes with its holder.
func (t *keyTable) left(r *request) *keyEntry {
	e := t.of[r]
	delete(t.of, r)
	if e == nil {
		return nil
	}
	e.tries = slices.DeleteFunc(e.tries, func(other *request) bool { return other == r })
	if e.holder != r.id {
		return nil
	}
	if !e.ran {
		// A try that comes before the controller has named an heir must not be taken for the first: both would run.
		if len(e.tries) > 0 {
			t.hold(e, e.tries[0])
			return nil
		}
		t.drop(e)
		t.tell(handover.Message{Kind: handover.Released, IdempotencyKey: e.once})
		return nil
	}
	return e
}

// drop forgets an entry and its result.
func (t *keyTable) drop(e *keyEntry) {
	if t.entries[e.once] == e {
		delete(t.entries, e.once)
	}
	t.bytes -= len(e.result)
	e.ok, e.result = false, nil
}

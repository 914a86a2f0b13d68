package admission

import "time"

// keyTable remembers requests so that their retries share one run and its result. It remembers requests of
// classes that are idempotent by key for the window of the class, and reads whose results are cached. It
// accounts for the memory of its entries, and tells the owner of the controller by ActionRemember and
// ActionForget which requests it remembers. The owner has its own table, with the results.
type keyTable struct {
	classes   []Class
	cacheTTL  time.Duration               // how long the result of a read may answer other attempts; 0: never
	tick      time.Duration               // shortest time for which a request is remembered
	expiresAt map[RequestID]time.Duration // by ID of the remembered request
	memory    *memoryBudget
	timers    *timers
	actions   *actionBuffer
}

func newKeyTable(memory *memoryBudget, timers *timers, actions *actionBuffer) keyTable {
	return keyTable{
		expiresAt: map[RequestID]time.Duration{},
		memory:    memory,
		timers:    timers,
		actions:   actions,
	}
}

func (k *keyTable) configure(settings *Settings) {
	k.classes = settings.Classes
	k.cacheTTL = settings.CacheTTL
	k.tick = settings.Tick
}

// len returns the number of entries.
func (k *keyTable) len() int { return len(k.expiresAt) }

// reusesResults reports whether, in a class, the result of one attempt may answer other attempts of the same
// request.
func (k *keyTable) reusesResults(class int) bool {
	switch k.classes[class].Idempotency {
	case IdempotentByKey:
		return true
	case Safe:
		return k.cacheTTL > 0
	case Unsafe:
	}
	return false
}

// reserve remembers a request that is idempotent by key before it may run. It returns false if there is no
// memory for the key; the request must then not run. Requests of other classes need no entry.
func (k *keyTable) reserve(now time.Duration, request *request) bool {
	if k.classes[request.class].Idempotency != IdempotentByKey {
		return true
	}
	if k.memory.wouldExceed(k.memory.keyKB) {
		return false
	}
	windowEnd := request.arrivedAt + k.classes[request.class].IdempotencyWindow
	k.add(now, request, max(windowEnd-now, k.tick))
	return true
}

// cacheResult remembers a read whose run has just started, if memory allows, so that its result answers
// retries. The entry expires after cacheTTL. Only the simulator caches results: the settings of the real
// server (internal/config) have a CacheTTL of 0.
func (k *keyTable) cacheResult(now time.Duration, request *request) {
	isRead := k.classes[request.class].Idempotency == Safe
	if k.cacheTTL > 0 && isRead && k.memory.allowsCaching() {
		k.add(now, request, k.cacheTTL)
	}
}

// add remembers a request for the given duration.
func (k *keyTable) add(now time.Duration, request *request, duration time.Duration) {
	request.remembered = true
	k.memory.reserve(k.memory.keyKB)
	k.expiresAt[request.id] = now + duration
	k.timers.add(now+duration, deadline{kind: deadlineKey, id: request.id})
	k.actions.emit(Action{Kind: ActionRemember, ID: request.id, Duration: duration})
}

// forget drops the entry of a request before it expires.
func (k *keyTable) forget(now time.Duration, request *request) {
	request.remembered = false
	if expiresAt, known := k.expiresAt[request.id]; known && expiresAt > now {
		k.memory.release(k.memory.keyKB)
		k.actions.emit(Action{Kind: ActionForget, ID: request.id})
		delete(k.expiresAt, request.id)
	}
}

// forgotten reports whether there is no entry of a request.
func (k *keyTable) forgotten(id RequestID) bool {
	_, known := k.expiresAt[id]
	return !known
}

// runEnded drops the entry of a read whose run ended without a result that could answer other attempts.
func (k *keyTable) runEnded(now time.Duration, request *request, outcome Outcome) {
	noResult := outcome == OutcomeCancelled || outcome == OutcomeFailed
	isRead := k.classes[request.class].Idempotency == Safe
	if noResult && isRead && request.remembered {
		k.forget(now, request)
	}
}

// expire drops an entry whose time has passed. It emits no action, since the owner of the controller decides
// itself when the entry in its own table expires.
func (k *keyTable) expire(id RequestID) {
	if _, known := k.expiresAt[id]; known {
		k.memory.release(k.memory.keyKB)
		delete(k.expiresAt, id)
	}
}

package admission

// minPurgeSize is the number of entries from which a collection is purged. Below it, obsolete entries cost
// little memory.
const minPurgeSize = 1024

// purgeThreshold decides when a collection is purged whose obsolete entries are otherwise removed only once
// they reach its front. That may be as late as the deadline of a request, so their number would grow with the
// rate at which clients send requests that end at once.
//
// Invariant: a collection holds at most twice as many entries as were in use at its last purge, or
// minPurgeSize if that is more. As it must have doubled since then, a purge costs a constant time per entry
// added.
type purgeThreshold struct {
	kept int // entries that were left by the last purge
}

// reached reports whether a collection of the given size must be purged.
func (p *purgeThreshold) reached(size int) bool { return size >= max(2*p.kept, minPurgeSize) }

// purged records that a purge has left kept entries.
func (p *purgeThreshold) purged(kept int) { p.kept = kept }

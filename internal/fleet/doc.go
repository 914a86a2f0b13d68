// Package fleet holds the membership view of one image server: the members that it knows, how old its knowledge of each
// is, and which of them it reaches. It makes the decisions of package gossip, which does the networking.
//
//   - Each process publishes a Record of itself with its state, load and address. Members pass records on.
//   - A View keeps the greatest record of each name by Record.Less: by incarnation, then process, then sequence number.
//     Merging is commutative and idempotent, so that all members end up with the same records in any order of receipt.
//   - The observer adds what it found out itself: Reach, the result of its failure detection, and DialOutcome, the result
//     of its dial to a lost process. Neither is part of the records that are passed on.
//   - Liveness combines the two kinds of knowledge. It distinguishes a failed process, a stalled process, a partition
//     and a member that left.
//   - A Snapshot is an immutable copy of a View for other goroutines.
//   - Self holds the record of this process, and settles conflicts over its name. Rejoin decides which addresses to dial, so
//     that a fleet that was partitioned merges again.
//
// The package is pure: it has no sockets, files, clocks, goroutines or global state. Times are passed in as durations on
// the observer's monotonic clock, and effects are returned as values.
//
// Records may be stale. If the view is empty, stale or partitioned, a caller must act as it would without a fleet.
package fleet

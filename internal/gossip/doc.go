// Package gossip makes this process a member of its fleet. It connects package fleet, which makes the decisions, with the
// memberlist library, which does the networking.
//
//   - Failure detection is memberlist's: SWIM with Lifeguard. Each process of a server is a separate node there.
//   - Records travel as updates in memberlist's gossip packets, and in its full exchanges between two members, which
//     memberlist calls push/pull.
//   - One goroutine owns the view (viewOwner). It merges updates and results of the failure detection, publishes this
//     process's records, and publishes the view as snapshots that any goroutine may read.
//   - Another goroutine dials members and seeds that are not reached, a third one sends messages to single members.
//
// No request depends on this package. Without other members the snapshot holds this process alone.
package gossip

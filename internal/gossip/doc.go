// Package gossip is the edge between package fleet and the memberlist library. Failure detection is memberlist's: SWIM
// with Lifeguard's local health. The records of members are sent as updates in its packets. What they mean is decided
// in package fleet, whose view one goroutine owns here and publishes as snapshots.
//
// Nothing here is needed to answer a request. Without other members the snapshot holds this process alone.
package gossip

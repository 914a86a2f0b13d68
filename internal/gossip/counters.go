package gossip

import "sync/atomic"

// Counters count events since the start of the process. They are safe for concurrent use.
type Counters struct {
	PacketsOut     atomic.Int64 // UDP packets sent
	BytesOut       atomic.Int64 // bytes in these packets
	Streams        atomic.Int64 // TCP connections that this process opened
	StreamBytes    atomic.Int64 // bytes written to these connections
	Updates        atomic.Int64 // updates received
	NewUpdates     atomic.Int64 // of these, the ones that were newer than the current record of their name
	Malformed      atomic.Int64 // messages dropped because they were malformed
	ForeignPackets atomic.Int64 // packets dropped because they were of another cluster or key
	Overflow       atomic.Int64 // updates and direct messages dropped because a queue was full
	Dials          atomic.Int64 // dials to members and seeds that were not reached
	DialsFailed    atomic.Int64 // of these, the ones that failed
	Direct         atomic.Int64 // messages that this process tried to send to single members
	Suspicions     atomic.Int64 // suspicions that this process raised
	Refutations    atomic.Int64 // suspicions of this process that it refuted
}

// values returns the counters by their published names, which operators' tools read.
func (c *Counters) values() map[string]int64 {
	return map[string]int64{
		"packets_out":      c.PacketsOut.Load(),
		"bytes_out":        c.BytesOut.Load(),
		"streams":          c.Streams.Load(),
		"stream_bytes_out": c.StreamBytes.Load(),
		"words":            c.Updates.Load(),
		"news":             c.NewUpdates.Load(),
		"spoilt":           c.Malformed.Load(),
		"strangers":        c.ForeignPackets.Load(),
		"overflow":         c.Overflow.Load(),
		"calls":            c.Dials.Load(),
		"calls_failed":     c.DialsFailed.Load(),
		"direct":           c.Direct.Load(),
		"suspicions":       c.Suspicions.Load(),
		"objections":       c.Refutations.Load(),
	}
}

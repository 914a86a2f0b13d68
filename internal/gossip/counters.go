package gossip

import "sync/atomic"

// Counters count since the start. Any goroutine may read them.
type Counters struct {
	PacketsOut, BytesOut, Streams, StreamBytes atomic.Int64 // sent by this process
	Updates, NewUpdates                        atomic.Int64 // received, and those that were newer than what was known
	Malformed, ForeignPackets, Overflow        atomic.Int64 // dropped: malformed; of another key; too many at once
	Calls, CallsFailed                         atomic.Int64 // dials to members and seeds that were not reached
	Direct                                     atomic.Int64 // messages to single members that were sent
	Suspicions, Objections                     atomic.Int64 // raised by this process; refuted by this process
}

// values returns the counters by the names under which they are published.
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
		"calls":            c.Calls.Load(),
		"calls_failed":     c.CallsFailed.Load(),
		"direct":           c.Direct.Load(),
		"suspicions":       c.Suspicions.Load(),
		"objections":       c.Objections.Load(),
	}
}

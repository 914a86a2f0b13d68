package gossip

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"falldeal/internal/fleet"
)

const (
	maxJoinStateBytes = 512 << 10 // bytes of updates in a full exchange after which no further update is added
	updatesPerSync    = 32        // maximum number of updates in a full exchange with a member that has joined before
	lengthPrefixSize  = 2         // bytes of the length before each update in a full exchange
)

// delegate passes messages between memberlist and the owner of the view. Its methods must not block: memberlist calls them
// from memberlist's own goroutines, and from the goroutine that calls Join.
type delegate struct{ fleet *Fleet }

// NodeMeta implements memberlist.Delegate. Nodes have no metadata: records are sent as messages.
func (d delegate) NodeMeta(int) []byte { return nil }

// NotifyMsg implements memberlist.Delegate.
func (d delegate) NotifyMsg(b []byte) {
	if len(b) > 0 && b[0] == fleet.KindDirect {
		if handler := d.fleet.messageHandler.Load(); handler != nil {
			(*handler)(b[1:])
		}
		return
	}
	d.queueUpdate(b)
}

// queueUpdate queues a received update for the owner of the view, and drops it if it is malformed or the queue is full.
func (d delegate) queueUpdate(b []byte) {
	record, age, err := fleet.ParseUpdate(b)
	if err != nil {
		d.fleet.Counters.Malformed.Add(1)
		d.fleet.warnings.Warn("gossip message", "malformed message from another member dropped", err)
		return
	}
	select {
	case d.fleet.updates <- recordUpdate{record, d.fleet.Now() - age, d.fleet.Now}:
	default:
		d.fleet.Counters.Overflow.Add(1) // its process publishes again within a publish interval
	}
}

// GetBroadcasts implements memberlist.Delegate.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.fleet.broadcasts.next(overhead, limit)
}

// LocalState implements memberlist.Delegate. A member that joins receives the records of all confirmed members, up to
// maxJoinStateBytes. In later exchanges it receives a random sample.
func (d delegate) LocalState(join bool) []byte {
	snapshot, now := d.fleet.Snapshot(), d.fleet.Now()
	known := len(snapshot.Members)
	limit := updatesPerSync
	if join {
		limit = known
	}
	var b []byte
	for i := range min(known, limit) {
		if !join {
			i = rand.IntN(known)
		}
		member := &snapshot.Members[i]
		if member.Seq == 0 || member.Liveness == fleet.Unconfirmed {
			continue // no record was received, or the failure detection never confirmed the member
		}
		b = appendPrefixedUpdate(b, member, member.Age(now))
		if len(b) > maxJoinStateBytes {
			break
		}
	}
	return b
}

// MergeRemoteState implements memberlist.Delegate. It takes what the other member's LocalState returned.
func (d delegate) MergeRemoteState(b []byte, _ bool) {
	for len(b) >= lengthPrefixSize {
		length := int(binary.BigEndian.Uint16(b))
		b = b[lengthPrefixSize:]
		if len(b) < length {
			d.fleet.Counters.Malformed.Add(1)
			return
		}
		d.NotifyMsg(b[:length])
		b = b[length:]
	}
}

// appendPrefixedUpdate appends the length of a member's update, in 2 bytes big endian, and the update.
func appendPrefixedUpdate(b []byte, member *fleet.Member, age time.Duration) []byte {
	start := len(b)
	b = append(b, make([]byte, lengthPrefixSize)...)
	b = fleet.AppendUpdate(b, member.Record, age)
	binary.BigEndian.PutUint16(b[start:], uint16(len(b)-start-lengthPrefixSize))
	return b
}

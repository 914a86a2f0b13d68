package gossip

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"falldeal/internal/fleet"
)

const (
	maxJoinStateBytes = 512 << 10 // of the state that a new member receives
	updatesPerSync    = 32        // in a later exchange
	lengthPrefixSize  = 2         // of each update in an exchange
)

// delegate exchanges messages with memberlist, which calls it from its own goroutines. It must not block.
type delegate struct{ fleet *Fleet }

// NodeMeta implements memberlist.Delegate. Records are sent as messages instead.
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

func (d delegate) queueUpdate(b []byte) {
	record, age, err := fleet.ParseUpdate(b)
	if err != nil {
		d.fleet.Counters.Malformed.Add(1)
		d.fleet.warn.Warn("gossip message", "malformed message from another member", err)
		return
	}
	select {
	case d.fleet.updates <- recordUpdate{record, d.fleet.Now() - age, d.fleet.Now}:
	default:
		d.fleet.Counters.Overflow.Add(1) // its process soon publishes again
	}
}

// GetBroadcasts implements memberlist.Delegate.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.fleet.broadcasts.next(overhead, limit)
}

// LocalState implements memberlist.Delegate. A new member receives the records of all members; in later exchanges a
// random sample is sent.
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
			continue // no record was received, or none that this process can vouch for
		}
		b = appendPrefixedUpdate(b, member, member.Age(now))
		if len(b) > maxJoinStateBytes {
			break
		}
	}
	return b
}

// MergeRemoteState implements memberlist.Delegate.
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

// appendPrefixedUpdate appends a member's update after its length.
func appendPrefixedUpdate(b []byte, member *fleet.Member, age time.Duration) []byte {
	start := len(b)
	b = append(b, make([]byte, lengthPrefixSize)...)
	b = fleet.AppendUpdate(b, member.Record, age)
	binary.BigEndian.PutUint16(b[start:], uint16(len(b)-start-lengthPrefixSize))
	return b
}

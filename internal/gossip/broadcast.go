package gossip

import (
	"time"

	"falldeal/internal/fleet"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"
)

// memberlist transmits an update as often as the multiplier times the decimal logarithm, rounded up, of the number of members
// plus one.
const (
	changeRetransmitMultiplier = 3 // of updates that change more than load
	loadRetransmitMultiplier   = 2 // of updates that change load alone
	// minRetransmitNodes is the minimum number of members from which the transmissions are computed. With the actual
	// number of a smaller fleet, one update in five would not reach every member.
	minRetransmitNodes = 10
)

// recordUpdate is a record that is received from or sent to other members. As a memberlist.Broadcast it replaces an older
// update of the same name in the queue.
type recordUpdate struct {
	record     fleet.Record
	recordedAt time.Duration        // when the record was published, or its stalled loop last reported; on this process's clock
	now        func() time.Duration // returns the time on the same clock
}

// Name implements memberlist.NamedBroadcast.
func (u *recordUpdate) Name() string { return u.record.Name }

// Invalidates implements memberlist.Broadcast.
func (u *recordUpdate) Invalidates(older memberlist.Broadcast) bool {
	other, ok := older.(*recordUpdate)
	return ok && other.record.Name == u.record.Name
}

// Message implements memberlist.Broadcast. It encodes the update with the age that the record has when it is sent.
func (u *recordUpdate) Message() []byte {
	return fleet.AppendUpdate(nil, &u.record, u.now()-u.recordedAt)
}

// Finished implements memberlist.Broadcast.
func (u *recordUpdate) Finished() {}

// broadcastQueues holds the updates that memberlist sends in its gossip packets. It is safe for concurrent use.
type broadcastQueues struct {
	changes memberlist.TransmitLimitedQueue // updates that change more than load; they are sent first
	loads   memberlist.TransmitLimitedQueue // updates that change load alone
}

func (q *broadcastQueues) init(members func() int) {
	nodes := func() int { return max(members(), minRetransmitNodes) }
	q.changes.NumNodes = nodes
	q.changes.RetransmitMult = changeRetransmitMultiplier
	q.loads.NumNodes = nodes
	q.loads.RetransmitMult = loadRetransmitMultiplier
}

// next returns the messages for a packet with room for limit bytes. Each message takes overhead bytes in addition to its
// length.
func (q *broadcastQueues) next(overhead, limit int) [][]byte {
	messages := q.changes.GetBroadcasts(overhead, limit)
	for _, message := range messages {
		limit -= overhead + len(message)
	}
	return append(messages, q.loads.GetBroadcasts(overhead, limit)...)
}

// publishRecord makes the next record of this process and broadcasts it.
func (o *viewOwner) publishRecord() {
	if o.left {
		return
	}
	now := o.Now()
	record := o.self.NextRecord(now)
	// While the loop stalls, the age of the record is the time since the last report of the loop.
	o.mergeUpdate(now, &recordUpdate{record, now - record.Stalled, o.Now})
}

// receiveUpdate handles an update from another process: it settles a conflict over this process's name, merges the update
// and broadcasts it if it is new. If a record of another process supersedes the received one, receiveUpdate
// broadcasts that record, so that the process that published the received one learns of it.
func (o *viewOwner) receiveUpdate(update *recordUpdate) {
	if o.left {
		return
	}
	now := o.Now()
	o.Counters.Updates.Add(1)
	if o.self.Receive(now, &update.record) {
		o.publishRecord()
		if o.self.NameReleased() {
			o.leaveOnNameConflict(now, &update.record)
			return
		}
	}
	if o.mergeUpdate(now, update) {
		o.Counters.NewUpdates.Add(1)
		return
	}
	if newer, recordedAt := o.view.SupersededBy(&update.record); newer != nil {
		o.broadcasts.changes.QueueBroadcast(&recordUpdate{*newer, recordedAt, o.Now})
	}
}

// mergeUpdate merges an update into the view. If the update is newer than the current record of its name, it broadcasts the
// update and returns true.
func (o *viewOwner) mergeUpdate(now time.Duration, update *recordUpdate) (newer bool) {
	previous := o.view.CurrentRecord(update.record.Name)
	if !o.view.Merge(now, now-update.recordedAt, update.record) {
		return false
	}
	if previous == nil || update.record.Urgent(previous) {
		o.broadcasts.changes.QueueBroadcast(update)
		o.unpublished.changed = true
		return true
	}
	if update.record.Load.Aggregate != "" {
		o.unpublished.aggregate = true
	}
	o.broadcasts.loads.QueueBroadcast(update)
	return true
}

// leaveOnNameConflict leaves the fleet after this process has released its name to an earlier one.
func (o *viewOwner) leaveOnNameConflict(now time.Duration, rival *fleet.Record) {
	o.log.WithFields(logrus.Fields{"member": rival.Name, "address": rival.Addr}).
		Error("member name in use by an earlier process, leaving fleet and serving alone")
	o.publishSnapshot(now)
	o.leave()
}

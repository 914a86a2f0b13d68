package gossip

import (
	"time"

	"falldeal/internal/fleet"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"
)

// An update is retransmitted so many times the logarithm of the number of members.
const (
	changeRetransmitMultiplier = 3 // where it changes more than load
	loadRetransmitMultiplier   = 2
	// minRetransmitNodes is the least number of members that is assumed: in a smaller fleet one update in five would
	// miss a member.
	minRetransmitNodes = 10
)

// recordUpdate is a record on its way from or to other members. As a memberlist.Broadcast it replaces an older update
// of the same name.
type recordUpdate struct {
	record     fleet.Record
	recordedAt time.Duration // on this process's clock
	now        func() time.Duration
}

// Name implements memberlist.NamedBroadcast.
func (u *recordUpdate) Name() string { return u.record.Name }

// Invalidates implements memberlist.Broadcast.
func (u *recordUpdate) Invalidates(older memberlist.Broadcast) bool {
	other, ok := older.(*recordUpdate)
	return ok && other.record.Name == u.record.Name
}

// Message implements memberlist.Broadcast. The age in it is that of the time at which it is sent.
func (u *recordUpdate) Message() []byte {
	return fleet.AppendUpdate(nil, &u.record, u.now()-u.recordedAt)
}

// Finished implements memberlist.Broadcast.
func (u *recordUpdate) Finished() {}

// broadcastQueues hold the updates that memberlist sends with its packets. Any goroutine may use them.
type broadcastQueues struct {
	changes memberlist.TransmitLimitedQueue // updates that change more than load, which are sent first
	loads   memberlist.TransmitLimitedQueue
}

func (q *broadcastQueues) init(members func() int) {
	nodes := func() int { return max(members(), minRetransmitNodes) }
	q.changes.NumNodes = nodes
	q.changes.RetransmitMult = changeRetransmitMultiplier
	q.loads.NumNodes = nodes
	q.loads.RetransmitMult = loadRetransmitMultiplier
}

// next returns the messages for a packet with room for limit bytes, where each message takes overhead bytes more.
func (q *broadcastQueues) next(overhead, limit int) [][]byte {
	messages := q.changes.GetBroadcasts(overhead, limit)
	for _, message := range messages {
		limit -= overhead + len(message)
	}
	return append(messages, q.loads.GetBroadcasts(overhead, limit)...)
}

// publishRecord broadcasts the next record of this process.
func (o *viewOwner) publishRecord() {
	if o.left {
		return
	}
	now := o.Now()
	record := o.self.NextRecord(now)
	o.mergeUpdate(now, &recordUpdate{record, now - record.Stalled, o.Now})
}

// receiveUpdate merges and passes on an update of another process.
func (o *viewOwner) receiveUpdate(update *recordUpdate) {
	if o.left {
		return
	}
	now := o.Now()
	o.Counters.Updates.Add(1)
	if o.self.Receive(now, &update.record) {
		o.publishRecord()
		if o.self.NameReleased() {
			o.leaveToRival(now, &update.record)
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

// mergeUpdate merges an update into the view. It broadcasts one that is newer than what was known, and returns whether
// it was.
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

func (o *viewOwner) leaveToRival(now time.Duration, rival *fleet.Record) {
	o.log.WithFields(logrus.Fields{"member": rival.Name, "address": rival.Addr}).
		Error("member name in use by an earlier process, leaving fleet and serving alone")
	o.publishSnapshot(now)
	o.leave()
}

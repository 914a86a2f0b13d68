package gossip

import (
	"time"

	"falldeal/internal/fleet"

	"github.com/sirupsen/logrus"
)

const (
	membersPerExtraTick = 64          // members for which changes in load alone wait one more tick
	maxAggregateDelay   = time.Second // maximum wait of changes in load alone once the aggregate of a zone was received
	maxChangeLines      = 64          // log lines for the changes in one snapshot
)

// unpublishedChanges records what has changed since the last published snapshot. It belongs to the owner of the view.
type unpublishedChanges struct {
	changed     bool          // more than load has changed
	aggregate   bool          // the aggregate of a zone was received
	publishedAt time.Duration // time of the last snapshot
}

// shouldPublish reports whether the next snapshot is due in a view with that many members. Changes in more than load are
// published at the next tick. Changes in load alone wait longer in a larger view.
func (u *unpublishedChanges) shouldPublish(now time.Duration, members int) bool {
	if u.changed {
		return true
	}
	wait := tickInterval * time.Duration(1+members/membersPerExtraTick)
	if u.aggregate {
		wait = min(wait, maxAggregateDelay)
	}
	return now-u.publishedAt >= wait-tickInterval/2 // ticks are not exactly tickInterval apart
}

// publishSnapshot publishes a snapshot of the view, and logs the changes since the previous one.
func (o *viewOwner) publishSnapshot(now time.Duration) {
	next, previous := o.view.Snapshot(now), o.Snapshot()
	o.unpublished = unpublishedChanges{publishedAt: now}
	o.logChanges(next.Changes(previous), next.Position)
	o.snapshot.Store(next)
}

// logChanges logs up to maxChangeLines changes.
func (o *viewOwner) logChanges(changes []fleet.Change, position fleet.Position) {
	for i, change := range changes {
		if i == maxChangeLines {
			o.log.WithField("count", len(changes)-i).Info("further changes in fleet not logged")
			return
		}
		o.log.WithFields(changeFields(&change, position)).Log(changeLevel(&change), string(change.Kind))
	}
}

// changeFields returns the fields of a change's log line.
func changeFields(change *fleet.Change, position fleet.Position) logrus.Fields {
	fields := logrus.Fields{"from": change.From, "to": change.To, "position": position.String()}
	switch change.Kind {
	case fleet.PositionChanged:
	case fleet.ZoneChanged:
		fields["zone"] = change.Zone
	default:
		fields["member"] = change.Member
		fields["age_ms"] = change.Age.Milliseconds()
	}
	return fields
}

// changeLevel returns the level of a change's log line: a warning if this member takes a position other than fully connected.
func changeLevel(change *fleet.Change) logrus.Level {
	if change.Kind == fleet.PositionChanged && change.To != fleet.FullyConnected.String() {
		return logrus.WarnLevel
	}
	return logrus.InfoLevel
}

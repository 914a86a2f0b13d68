package gossip

import (
	"time"

	"falldeal/internal/fleet"

	"github.com/sirupsen/logrus"
)

const (
	membersPerExtraTick = 64          // load alone is published one tick later for so many members
	maxAggregateDelay   = time.Second // but no later than this where the aggregate of a zone was received
	maxChangeLines      = 64          // log lines for one snapshot
)

// unpublishedChanges is what has changed since the last snapshot. It belongs to the owner of the view.
type unpublishedChanges struct {
	changed     bool // in more than load
	aggregate   bool // the aggregate of a zone was received
	publishedAt time.Duration
}

// shouldPublish reports whether the next snapshot is to be published. A change in load alone waits for longer in a larger view.
func (u *unpublishedChanges) shouldPublish(now time.Duration, members int) bool {
	if u.changed {
		return true
	}
	wait := tickInterval * time.Duration(1+members/membersPerExtraTick)
	if u.aggregate {
		wait = min(wait, maxAggregateDelay)
	}
	return now-u.publishedAt >= wait-tickInterval/2
}

// publishSnapshot publishes the view, and logs the changes since the last snapshot.
func (o *viewOwner) publishSnapshot(now time.Duration) {
	next, previous := o.view.Snapshot(now), o.Snapshot()
	o.unpublished = unpublishedChanges{publishedAt: now}
	o.logChanges(next.Changes(previous), next.Position)
	o.snapshot.Store(next)
}

func (o *viewOwner) logChanges(changes []fleet.Change, position fleet.Position) {
	for i, change := range changes {
		if i == maxChangeLines {
			o.log.WithField("count", len(changes)-i).Info("further changes in fleet not logged")
			return
		}
		o.log.WithFields(changeFields(&change, position)).Log(changeLevel(&change), string(change.Kind))
	}
}

// changeFields returns the fields of the log line of a change.
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

// changeLevel is a warning where this member is no longer connected to the whole fleet.
func changeLevel(change *fleet.Change) logrus.Level {
	if change.Kind == fleet.PositionChanged && change.To != fleet.FullyConnected.String() {
		return logrus.WarnLevel
	}
	return logrus.InfoLevel
}

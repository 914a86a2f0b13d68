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

// due reports whether the next snapshot is to be published. A change in load alone waits for longer in a larger view.
func (u *unpublishedChanges) due(now time.Duration, members int) bool {
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
func (f *Fleet) publishSnapshot(now time.Duration) {
	next, previous := f.view.Snapshot(now), f.Snapshot()
	f.unpublished = unpublishedChanges{publishedAt: now}
	f.logChanges(next.Changes(previous), next.Position)
	f.snapshot.Store(next)
}

func (f *Fleet) logChanges(changes []fleet.Change, position fleet.Position) {
	for i, change := range changes {
		if i == maxChangeLines {
			f.log.WithField("more", len(changes)-i).Info("fleet: further changes at the same time")
			return
		}
		entry := f.log.WithFields(logrus.Fields{
			"what": string(change.Kind), "member": change.Member, "from": change.From, "to": change.To,
			"age_ms": change.Age.Milliseconds(), "position": position.String(),
		})
		if change.Kind == fleet.PositionChanged {
			entry.Warn("fleet")
		} else {
			entry.Info("fleet")
		}
	}
}

package gossip

import (
	"context"
	"time"

	"falldeal/internal/fleet"
)

const (
	tickInterval   = 250 * time.Millisecond // of maintain
	forgetInterval = 10 * time.Second       // between two searches for members to forget
)

// viewOwner is what belongs to the goroutine that owns the view: the view of the fleet, what this process publishes of
// itself, and when the next rounds are due. Nothing else reads or changes it.
type viewOwner struct {
	*Fleet       // whose channels bring the events
	view         *fleet.View
	self         *fleet.Self
	rejoin       *fleet.Rejoin
	unpublished  unpublishedChanges
	dialing      bool // a round of dials is not over
	left         bool // this process has left the fleet
	nextDialAt   time.Duration
	nextForgetAt time.Duration
}

// newViewOwner returns the owner of a view that holds the process's own record, and publishes that view.
func newViewOwner(member *Fleet, rejoin *fleet.Rejoin) *viewOwner {
	config := &member.config
	owner := &viewOwner{
		Fleet:  member,
		view:   fleet.NewView(config.Place.Name, config.Limits),
		self:   fleet.NewSelf(0, config.Place, config.Digest, config.Incarnation),
		rejoin: rejoin,
	}
	owner.view.Merge(0, 0, owner.self.Record())
	member.snapshot.Store(owner.view.Snapshot(0))
	return owner
}

// ownView is the goroutine of a viewOwner. It ends with ctx, after leaving the fleet.
func (o *viewOwner) ownView(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	o.publishRecord()
	for {
		select {
		case <-ctx.Done():
			o.leave()
			return
		case status := <-o.statuses:
			o.applyStatus(status)
		case change := <-o.changes:
			o.applyChange(change)
		case update := <-o.updates:
			o.receiveUpdate(&update)
		case result := <-o.dialResults:
			o.applyDialResult(result)
		case <-ticker.C:
			o.maintain()
		}
	}
}

func (o *viewOwner) applyStatus(status fleet.Status) {
	if o.self.SetStatus(o.Now(), status) {
		o.publishRecord()
	}
	if status.Replaced && !o.left {
		o.log.Info("successor process connected, leaving fleet")
		o.leave()
	}
}

// maintain is what is due at a tick.
func (o *viewOwner) maintain() {
	if o.left {
		return
	}
	now := o.Now()
	o.applyReachChanges(now)
	if now >= o.nextForgetAt {
		o.nextForgetAt = now + forgetInterval
		o.view.RemoveExpired(now)
	}
	if o.self.ShouldPublish(now, o.view.Size()) {
		o.publishRecord()
	}
	if o.unpublished.shouldPublish(now, o.view.Size()) {
		o.publishSnapshot(now)
	}
	if !o.dialing && now >= o.nextDialAt {
		o.nextDialAt = now + dialRoundInterval(o.view.Size())
		o.startDialRound(now)
	}
}

func (o *viewOwner) applyReachChanges(now time.Duration) {
	o.reach.drain(func(process string, reach fleet.Reach) {
		name, run, err := fleet.ParseProcess(process)
		if err != nil {
			return // a node of another program
		}
		o.view.ObserveReach(now, name, run, reach)
		o.unpublished.changed = true
	})
}

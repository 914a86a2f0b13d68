package gossip

import (
	"context"
	"time"

	"falldeal/internal/fleet"
)

const (
	tickInterval   = 250 * time.Millisecond // between two calls of onTick
	expiryInterval = 10 * time.Second       // between two removals of expired members
)

// viewOwner holds the state of the goroutine that owns the view: the view of the fleet, what this process publishes, and
// the times of the next periodic tasks. No other goroutine uses it.
type viewOwner struct {
	*Fleet       // its channels deliver the events
	view         *fleet.View
	self         *fleet.Self
	rejoin       *fleet.Rejoin
	unpublished  unpublishedChanges
	dialing      bool          // a round of dials is running
	left         bool          // this process has left the fleet
	nextDialAt   time.Duration // earliest time of the next round of dials
	nextExpiryAt time.Duration // time of the next removal of expired members
}

// newViewOwner returns the owner of a view that holds this process's record alone, and publishes its first snapshot.
func newViewOwner(membership *Fleet, rejoin *fleet.Rejoin) *viewOwner {
	config := &membership.config
	owner := &viewOwner{
		Fleet:  membership,
		view:   fleet.NewView(config.Process.Name, config.Limits),
		self:   fleet.NewSelf(0, config.Process, config.Digest, config.Incarnation),
		rejoin: rejoin,
	}
	owner.view.Merge(0, 0, owner.self.Record())
	membership.snapshot.Store(owner.view.Snapshot(0))
	return owner
}

// run handles events until ctx ends, and then leaves the fleet.
func (o *viewOwner) run(ctx context.Context) {
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
		case reload := <-o.reloads:
			o.applyReload(reload)
		case update := <-o.updates:
			o.receiveUpdate(&update)
		case result := <-o.dialResults:
			o.applyDialResult(result)
		case <-ticker.C:
			o.onTick()
		}
	}
}

// applyStatus takes a status of the server loop, and leaves the fleet once a successor process has replaced this one.
func (o *viewOwner) applyStatus(status fleet.Status) {
	if o.self.SetStatus(o.Now(), status) {
		o.publishRecord()
	}
	if status.Replaced && !o.left {
		o.log.Info("replaced by successor process, leaving fleet")
		o.leave()
	}
}

// onTick runs the periodic tasks that are due.
func (o *viewOwner) onTick() {
	if o.left {
		return
	}
	now := o.Now()
	o.applyReachChanges(now)
	if now >= o.nextExpiryAt {
		o.nextExpiryAt = now + expiryInterval
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

// applyReachChanges takes the results of the failure detection since the last call.
func (o *viewOwner) applyReachChanges(now time.Duration) {
	o.reach.drain(func(process string, reach fleet.Reach) {
		name, run, err := fleet.ParseProcess(process)
		if err != nil {
			return // not a node of this program
		}
		o.view.ObserveReach(now, name, run, reach)
		o.unpublished.changed = true
	})
}

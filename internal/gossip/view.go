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

// ownView is the goroutine that owns the view. It ends with ctx, after leaving the fleet.
func (f *Fleet) ownView(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	f.publishRecord()
	for {
		select {
		case <-ctx.Done():
			f.leave()
			return
		case status := <-f.statuses:
			f.applyStatus(status)
		case change := <-f.changes:
			f.applyChange(change)
		case update := <-f.updates:
			f.receiveUpdate(&update)
		case result := <-f.dialResults:
			f.applyDialResult(result)
		case <-ticker.C:
			f.maintain()
		}
	}
}

func (f *Fleet) applyStatus(status fleet.Status) {
	if f.self.SetStatus(f.Now(), status) {
		f.publishRecord()
	}
	if status.Replaced && !f.left {
		f.log.Info("successor process took over, leaving fleet")
		f.leave()
	}
}

// maintain is what is due at a tick.
func (f *Fleet) maintain() {
	if f.left {
		return
	}
	now := f.Now()
	f.applyReachChanges(now)
	if now >= f.nextForgetAt {
		f.nextForgetAt = now + forgetInterval
		f.view.Forget(now)
	}
	if f.self.ShouldPublish(now, f.view.Size()) {
		f.publishRecord()
	}
	if f.unpublished.shouldPublish(now, f.view.Size()) {
		f.publishSnapshot(now)
	}
	if !f.dialing && now >= f.nextDialAt {
		f.nextDialAt = now + dialRoundInterval(f.view.Size())
		f.startDialRound(now)
	}
}

func (f *Fleet) applyReachChanges(now time.Duration) {
	f.reach.drain(func(process string, reach fleet.Reach) {
		name, run, err := fleet.ParseProcess(process)
		if err != nil {
			return // a node of another program
		}
		f.view.ObserveReach(now, name, run, reach)
		f.unpublished.changed = true
	})
}

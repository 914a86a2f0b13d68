package gossip

import (
	"context"
	"time"

	"falldeal/internal/fleet"
)

const (
	dialInterval                = time.Second // between two rounds of dials
	membersPerExtraDialInterval = 256         // and as much more for each so many members
)

func dialRoundInterval(members int) time.Duration {
	return dialInterval * time.Duration(1+members/membersPerExtraDialInterval)
}

// dialTarget is an address to dial, and the process that was last known there.
type dialTarget struct {
	addr string
	name string // empty for a seed without a known member
	run  uint64
}

// dialResult is the result of a failed dial, or the end of a round.
type dialResult struct {
	target         dialTarget
	evidence       fleet.DialOutcome
	roundCompleted bool
}

// startDialRound has addresses dialed that are not reached. There is one round at a time.
func (o *viewOwner) startDialRound(now time.Duration) {
	snapshot := o.Snapshot()
	var round []dialTarget
	for _, addr := range o.rejoin.NextDials(now, snapshot) {
		round = append(round, newDialTarget(addr, snapshot))
	}
	if len(round) > 0 {
		o.dialing = true
		o.dialRounds <- round
	}
}

func newDialTarget(addr string, snapshot *fleet.Snapshot) dialTarget {
	target := dialTarget{addr: addr}
	for i := range snapshot.Members {
		member := &snapshot.Members[i]
		if member.Addr == addr && member.Liveness != fleet.Left {
			target.name = member.Name
			target.run = member.Run
		}
	}
	return target
}

func (o *viewOwner) applyDialResult(result dialResult) {
	if result.roundCompleted {
		o.dialing = false
		return
	}
	o.view.RecordDialOutcome(result.target.name, result.target.run, result.evidence)
	o.unpublished.changed = true
}

// runDialRounds is the goroutine that dials, which takes long where nothing answers. It ends with ctx.
func (f *Fleet) runDialRounds(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case round := <-f.dialRounds:
			f.dialAll(ctx, round)
		}
	}
}

func (f *Fleet) dialAll(ctx context.Context, round []dialTarget) {
	for _, target := range round {
		f.Counters.Dials.Add(1)
		f.transport.dial.begin(target.addr)
		if _, err := f.memberlist.Join([]string{target.addr}); err != nil {
			f.Counters.DialsFailed.Add(1)
			f.reportDial(ctx, dialResult{target: target, evidence: f.transport.dial.evidence()})
		}
	}
	f.reportDial(ctx, dialResult{roundCompleted: true})
}

func (f *Fleet) reportDial(ctx context.Context, result dialResult) {
	select {
	case f.dialResults <- result:
	case <-ctx.Done():
	}
}

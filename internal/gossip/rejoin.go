package gossip

import (
	"context"
	"time"

	"falldeal/internal/fleet"
)

const (
	dialInterval                = time.Second // between two rounds of dials
	membersPerExtraDialInterval = 256         // members for which a round is delayed by one more dialInterval
)

// dialRoundInterval returns the time between two rounds of dials in a view with that many members.
func dialRoundInterval(members int) time.Duration {
	return dialInterval * time.Duration(1+members/membersPerExtraDialInterval)
}

// dialTarget is an address to dial, and the process of the member that is known at the address.
type dialTarget struct {
	addr string
	name string // empty for a seed at whose address no member is known
	run  uint64
}

// dialResult is the result of a failed dial, or the end of a round.
type dialResult struct {
	target         dialTarget
	outcome        fleet.DialOutcome
	roundCompleted bool // the round has ended; the other fields are empty
}

// startDialRound starts dialing the addresses that are due. Only one round runs at a time.
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

// newDialTarget returns the target for an address, with the process that the snapshot has at that address.
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

// applyDialResult takes the result of a failed dial or the end of a round.
func (o *viewOwner) applyDialResult(result dialResult) {
	if result.roundCompleted {
		o.dialing = false
		return
	}
	o.view.RecordDialOutcome(result.target.name, result.target.run, result.outcome)
	o.unpublished.changed = true
}

// runDialRounds dials the targets of each round until ctx ends. It has a goroutine of its own, as a dial blocks until its
// timeout where nothing responds.
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

// dialAll dials the targets of a round one after another. It reports each failed dial, and then the end of the round.
func (f *Fleet) dialAll(ctx context.Context, round []dialTarget) {
	for _, target := range round {
		f.Counters.Dials.Add(1)
		f.transport.dial.begin(target.addr)
		if _, err := f.memberlist.Join([]string{target.addr}); err != nil {
			f.Counters.DialsFailed.Add(1)
			f.reportDial(ctx, dialResult{target: target, outcome: f.transport.dial.outcome()})
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

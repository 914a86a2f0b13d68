package gossip

import (
	"math/rand/v2"
	"time"

	"falldeal/internal/fleet"

	"github.com/hashicorp/memberlist"
)

const (
	leaveTimeout       = 200 * time.Millisecond // for memberlist to broadcast that this process leaves
	maxLeaveRecipients = 8                      // members to which the last record is sent directly
)

// leave leaves the fleet: when the process ends, was replaced or has released its name. Further calls do nothing.
func (o *viewOwner) leave() {
	if o.left {
		return
	}
	if !o.self.NameReleased() {
		o.sendLastRecord()
	}
	o.left = true
	if err := o.memberlist.Leave(leaveTimeout); err != nil {
		o.log.WithError(err).Debug("departure from fleet not broadcast in time")
	}
	if err := o.memberlist.Shutdown(); err != nil {
		o.log.WithError(err).Warn("gossip sockets not closed")
	}
}

// sendLastRecord sends the last record of this process directly to up to maxLeaveRecipients random members that are alive,
// as the process may end before the next gossip packet is sent.
func (o *viewOwner) sendLastRecord() {
	now := o.Now()
	update := &recordUpdate{o.self.LeaveRecord(now), now, o.Now}
	o.mergeUpdate(now, update)
	members := o.Snapshot().Members
	sent := 0
	for _, i := range rand.Perm(len(members)) {
		member := &members[i]
		if member.Self || member.Liveness != fleet.Alive || sent == maxLeaveRecipients {
			continue
		}
		sent++
		if err := o.memberlist.SendToAddress(addressOf(member), update.Message()); err != nil {
			o.log.WithError(err).WithField("member", member.Name).Debug("last record not sent to member")
		}
	}
}

// addressOf returns the address of a member for memberlist.
func addressOf(member *fleet.Member) memberlist.Address {
	return memberlist.Address{Addr: member.Addr, Name: member.Process()}
}

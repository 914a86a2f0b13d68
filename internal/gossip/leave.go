package gossip

import (
	"math/rand/v2"
	"time"

	"falldeal/internal/fleet"

	"github.com/hashicorp/memberlist"
)

const (
	leaveTimeout       = 200 * time.Millisecond // for the failure detection to pass on that this process leaves
	maxLeaveRecipients = 8                      // members that receive the last record directly
)

// leave leaves the fleet: at the end, or when the name belongs to another process. A second call does nothing.
func (f *Fleet) leave() {
	if f.left {
		return
	}
	if !f.self.NameReleased() {
		f.sendLastRecord()
	}
	f.left = true
	if err := f.memberlist.Leave(leaveTimeout); err != nil {
		f.log.WithError(err).Debug("leaving not acknowledged by other members")
	}
	if err := f.memberlist.Shutdown(); err != nil {
		f.log.WithError(err).Warn("gossip sockets not closed")
	}
}

// sendLastRecord sends the last record of this process to some members directly: the process may have ended before the
// next packet of gossip is sent.
func (f *Fleet) sendLastRecord() {
	now := f.Now()
	update := &recordUpdate{f.self.LeaveRecord(now), now, f.Now}
	f.mergeUpdate(now, update)
	members := f.Snapshot().Members
	sent := 0
	for _, i := range rand.Perm(len(members)) {
		member := &members[i]
		if member.Self || member.Liveness != fleet.Alive || sent == maxLeaveRecipients {
			continue
		}
		sent++
		if err := f.memberlist.SendToAddress(addressOf(member), update.Message()); err != nil {
			f.log.WithError(err).WithField("member", member.Name).Debug("last record not sent")
		}
	}
}

func addressOf(member *fleet.Member) memberlist.Address {
	return memberlist.Address{Addr: member.Addr, Name: member.Process()}
}

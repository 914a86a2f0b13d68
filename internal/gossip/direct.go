package gossip

import (
	"context"

	"falldeal/internal/fleet"

	"github.com/hashicorp/memberlist"
)

// directQueueLength is the maximum number of messages to single members that wait to be sent.
const directQueueLength = 256

// directMessage is a message to a single member.
type directMessage struct {
	to      memberlist.Address
	payload []byte // begins with fleet.KindDirect
}

// Send sends b to a member once, without acknowledgement. It never blocks: it drops the message if directQueueLength others
// wait. It copies b. Any goroutine may call Send.
func (f *Fleet) Send(to *fleet.Member, b []byte) {
	message := directMessage{addressOf(to), append([]byte{fleet.KindDirect}, b...)}
	select {
	case f.directMessages <- message:
	default:
		f.Counters.Overflow.Add(1)
	}
}

// OnMessage sets the handler of messages to this member. The handler is called by goroutines of memberlist. It must neither
// block nor keep b. Any goroutine may call OnMessage.
func (f *Fleet) OnMessage(handler func(b []byte)) { f.messageHandler.Store(&handler) }

// sendDirectMessages sends the queued messages to single members until ctx ends.
func (f *Fleet) sendDirectMessages(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-f.directMessages:
			f.Counters.Direct.Add(1)
			if err := f.memberlist.SendToAddress(message.to, message.payload); err != nil {
				f.warnings.Warn("direct message", "message to member not sent", err)
			}
		}
	}
}

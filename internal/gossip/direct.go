package gossip

import (
	"context"

	"falldeal/internal/fleet"

	"github.com/hashicorp/memberlist"
)

// directQueueLength is the number of messages to single members that wait to be sent.
const directQueueLength = 256

// directMessage is a message to one member.
type directMessage struct {
	to      memberlist.Address
	payload []byte // with its kind
}

// Send sends b to a member once, without acknowledgement. It never blocks: a message is dropped if too many wait. Any
// goroutine may call it; the caller must not use b afterwards.
func (f *Fleet) Send(to *fleet.Member, b []byte) {
	message := directMessage{addressOf(to), append([]byte{fleet.KindDirect}, b...)}
	select {
	case f.directMessages <- message:
	default:
		f.Counters.Overflow.Add(1)
	}
}

// OnMessage sets the handler of messages to this member. It must not block and must not keep b. Any goroutine may call
// OnMessage; the handler is called by goroutines of memberlist.
func (f *Fleet) OnMessage(handler func(b []byte)) { f.messageHandler.Store(&handler) }

// sendDirectMessages is the goroutine that sends messages to single members. It ends with ctx.
func (f *Fleet) sendDirectMessages(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-f.directMessages:
			f.Counters.Direct.Add(1)
			if err := f.memberlist.SendToAddress(message.to, message.payload); err != nil {
				f.warn.Warn("direct message", "message to member not sent", err)
			}
		}
	}
}

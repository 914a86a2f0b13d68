// Package agent implements the link to the agent that runs requests: the protocol, reconnecting, and the recovery of
// commands and notifications after a connection breaks.
//
// Notifications: the agent numbers its notifications about runs and keeps the last 4,000. Each new connection subscribes
// to those after the last one read. A disconnection therefore loses notifications only if more than 4,000 were sent in the
// meantime. Duplicates are dropped.
//
// Commands have no number. A Link keeps a command until it knows that the agent has read it: the agent answers a sample
// that was sent later on the same connection, or sends a notification about the same request. The Link sends the remaining
// commands again on the next connection, after the missed notifications have arrived.
//
// A reply to a store call is delivered at most once. The protocol does not say which call a reply is for: the agent passes it
// to the call that the run waits for when it reads the reply. A reply that was read before the disconnection, and is read
// again after the run has come to its next call, would answer that call. The run may come to it at any time, so no
// notification read so far excludes it. A reply that may have been read is therefore not sent again but reported to the
// Handler, which decides what becomes of the run. So that this is rare, a reply is held back until a sample is answered, which
// shows that the agent still reads commands, and another sample follows it at once. A reply is then unacknowledged only if the
// agent stops reading, or the connection breaks, within about a round trip after it was sent.
package agent

import (
	"context"
	"errors"
	"time"

	"falldeal/internal/backoff"
	"falldeal/internal/logging"
	"falldeal/internal/reconnect"

	"github.com/sirupsen/logrus"
)

const (
	writeQueueSize = 4096 // commands waiting to be written
	minBackoff     = 10 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	jitterStream   = 0xa6e27 // separates the random numbers for the agent's backoff from those of other links
)

// ErrNotConnected reports that there is no connection to the agent that accepts commands.
var ErrNotConnected = errors.New("agent not connected")

// Config configures a Link.
type Config struct {
	Address string   // TCP address of the agent
	Gauges  []string // names of the gauges, in the order in which the agent reports them
	Seed    uint64   // of the jitter of reconnect delays
}

// Loop is the interface of a Link to the event loop that owns it.
type Loop struct {
	Post func(func())         // runs a function on the loop; may be called on any goroutine
	Now  func() time.Duration // clock of the loop; called only on the loop
}

// Handler holds the callbacks of a Link, which calls them on the loop.
type Handler struct {
	// OnNotification receives each notification once, in the order in which they were read.
	OnNotification func(Notification)
	// OnLost is called when notifications are lost, and with them possibly the outcomes of runs in flight: the agent no
	// longer had them after a disconnection, or was restarted.
	OnLost func()
	// OnReplyUnacknowledged is called once a connection is ready again, for each reply that was sent before the
	// disconnection and that the agent is not known to have read. The reply is not sent again. If the agent has not read it,
	// the run waits for the call of its last CallRequest until SkipCall, or until the agent learns that the request needs no
	// answer; otherwise the run continues, and its next notification proves that.
	OnReplyUnacknowledged func(requestID string)
}

// Link is the link to the agent. All methods except Run are called on the loop and do not block.
type Link struct {
	connections *reconnect.Link
	loop        Loop
	handler     Handler
	gauges      []string // names, in the order in which the agent reports them
	log         *logging.Limiter

	current               *connection // nil: disconnected
	next                  *connection // to a new address; replaces current once no reply is unacknowledged; nil: none
	connectionsOpened     uint64
	repliesUnacknowledged uint64 // sent before a disconnection; the agent is not known to have read them

	incarnation incarnation // of the agent connected last
	lastOffset  int64       // offset of the last numbered notification read; 0: none
	commands    commandLog
}

// New returns a Link that calls handler. It sends nothing before Run is called.
func New(config Config, loop Loop, handler Handler, log *logging.Limiter) *Link {
	connections := reconnect.New(config.Address, reconnect.Config{
		Backoff: backoff.Config{
			BaseDelay: minBackoff,
			MaxDelay:  maxBackoff,
			Seed:      config.Seed,
			Stream:    jitterStream,
		},
		WriteQueueSize: writeQueueSize,
	})
	return &Link{connections: connections, loop: loop, handler: handler, gauges: config.Gauges, log: log}
}

// Run keeps a connection to the current address open until ctx ends. It needs its own goroutine.
func (l *Link) Run(ctx context.Context) { l.connections.Run(ctx, connectionHandler{l}) }

// SetAddress connects to another address. The current connection stays in use until the new one is open and the agent is known
// to have read all replies sent on the current one, or that ends.
func (l *Link) SetAddress(address string) { l.connections.SetAddress(address) }

// SetGauges sets the names of the gauges, in the order in which the agent reports them.
func (l *Link) SetGauges(names []string) { l.gauges = names }

// ConnectionsOpened returns the number of connections opened so far.
func (l *Link) ConnectionsOpened() uint64 { return l.connectionsOpened }

// RepliesUnacknowledged returns the number of replies to calls so far that the agent was not known to have read after a
// disconnection.
func (l *Link) RepliesUnacknowledged() uint64 { return l.repliesUnacknowledged }

// Launch runs a request. The command is sent as soon as a connection accepts commands, and again after a disconnection
// unless the agent is known to have read it.
func (l *Link) Launch(requestID, class string, payload []byte) {
	l.sendCommand(command{requestID: requestID, line: encodeLaunch(requestID, class, payload)})
}

// Reply passes a run the reply to the store call that it waits for. The reply is sent once: if the agent is not known to have
// read it before a disconnection, the Handler's OnReplyUnacknowledged is called. The reply waits for the answer to the sample
// that is in flight, or else to one that Reply sends.
func (l *Link) Reply(requestID string, payload []byte) {
	l.commands.add(command{requestID: requestID, line: encodeReply(requestID, payload), nonIdempotent: true})
	if l.state() == ready && !l.current.sampleInFlight() {
		l.sendSample()
	}
}

// SkipCall lets a run continue without the store call that the CallRequest with this offset requested.
func (l *Link) SkipCall(requestID string, offset int64) {
	l.sendCommand(command{requestID: requestID, line: encodeSkipCall(requestID, offset)})
}

// DiscardCommands prevents the commands about a request from being sent again. It is called when a notification about the
// request proves that the agent has read them, or when they are obsolete.
func (l *Link) DiscardCommands(requestID string) { l.commands.removeRequest(requestID) }

// SampleGauges requests the gauges; the Handler receives them as a GaugeSample. It also checks the connection as
// CheckLiveness does. It must be called periodically once the first handshake has arrived.
func (l *Link) SampleGauges() {
	if l.state() == ready {
		l.sendSample()
	}
	l.CheckLiveness()
}

// DeepCheck requests the work of a deep health check. The DeepCheckOutcome carries the same token. The command is not sent
// again after a disconnection. The error is ErrNotConnected if no connection accepts commands.
func (l *Link) DeepCheck(token string) error {
	if l.state() != ready {
		return ErrNotConnected
	}
	l.current.queue.Send(encodeDeepCheck(token))
	return nil
}

// CheckLiveness aborts a silent connection, so that another one is opened. It must be called periodically until the first
// handshake has arrived; after that SampleGauges calls it.
func (l *Link) CheckLiveness() {
	now := l.loop.Now()
	if l.current == nil || !l.current.isSilent(now) {
		return
	}
	l.log.WarnFields("agent silent", "agent connection silent, reconnecting", nil, logrus.Fields{
		"elapsed_ms": (now - l.current.lastReceived).Milliseconds(),
	})
	l.abortConnection()
}

// sendCommand sends an idempotent command, at once or when a connection accepts commands.
func (l *Link) sendCommand(added command) {
	if l.state() == ready {
		added.sequence = l.commands.nextSequence()
		l.current.queue.Send(added.line)
	}
	l.commands.add(added)
}

// sendReplies sends the replies that were held back. It is called when the answer to a sample has shown that the agent reads
// commands, and sends another sample, whose answer acknowledges them and lets the next ones be sent.
func (l *Link) sendReplies() {
	if l.next != nil {
		return // they are sent on the next connection
	}
	if lines := l.commands.takeUnsent(); len(lines) > 0 {
		l.current.queue.Send(lines)
		l.sendSample()
	}
}

// sendSample requests the gauges. The answer also acknowledges the commands sent before. The token is the sequence number
// of the sample.
func (l *Link) sendSample() {
	sequence := l.commands.nextSequence()
	l.current.recordSample(sequence)
	l.current.queue.Send(encodeSample(sequence))
}

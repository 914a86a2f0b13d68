// Package agent holds the link to the agent that runs requests: its protocol, reconnecting, and what makes sure that
// neither a command nor a notification is lost when a connection breaks.
//
// The agent numbers its notifications about runs and keeps the last 4,000. Each new connection subscribes to those after
// the last that was read, so a break loses none unless more than that came meanwhile; those that come twice are dropped.
// Commands have no number. A Link keeps each until the agent is known to have read it, by the answer to a sample that was
// sent later on the same connection or by a notification about the same request, and sends the rest again on the next
// connection, once the missed notifications are in.
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
	writeQueueSize = 4096 // commands that wait to be written
	minBackoff     = 10 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	jitterStream   = 0xa6e27 // sets the agent's jitter apart from that of other links of one server
)

// ErrNotConnected reports that no connection to the agent takes commands at present.
var ErrNotConnected = errors.New("agent not connected")

// Config is what a Link is made with.
type Config struct {
	Address string
	Gauges  []string // names of the gauges, in the order in which the agent reports them
	Seed    uint64   // of the jitter of reconnecting
}

// Loop is what a Link needs of the event loop that owns it.
type Loop struct {
	Post func(func())         // hands a function to the loop; called on any goroutine
	Now  func() time.Duration // the loop's clock; called on the loop
}

// Handler is what a Link calls, on the loop.
type Handler struct {
	// OnNotification takes each notification once, in the order in which they were read.
	OnNotification func(Notification)
	// OnLost is called where notifications are lost for good, and so the outcome of all runs in flight: the agent no
	// longer had them at the end of a break, or was restarted.
	OnLost func()
}

// Link is the link to the agent. Its methods but Run are called on the loop, and none of them blocks.
type Link struct {
	connections *reconnect.Link
	loop        Loop
	handler     Handler
	gauges      []string // names, in the order in force
	log         *logging.Limiter

	current           *connection // nil: disconnected
	connectionsOpened uint64
	incarnation       incarnation // of the agent
	lastOffset        int64       // of the last numbered notification read from it
	commands          commandLog
}

// New returns a Link that calls handler. Nothing is sent before Run.
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

// Run keeps a connection open to the address in force until ctx ends, on a goroutine of its own.
func (l *Link) Run(ctx context.Context) { l.connections.Run(ctx, connectionHandler{l}) }

// SetAddress opens a connection to another address. The present one is used until that is open.
func (l *Link) SetAddress(address string) { l.connections.SetAddress(address) }

// SetGauges changes the names of the gauges, in the order in which the agent reports them.
func (l *Link) SetGauges(names []string) { l.gauges = names }

// ConnectionsOpened returns how many connections have been opened.
func (l *Link) ConnectionsOpened() uint64 { return l.connectionsOpened }

// Launch runs a request. It is sent once a connection takes commands, and again after a break.
func (l *Link) Launch(requestID, class string, payload []byte) {
	l.sendCommand(command{requestID: requestID, line: encodeLaunch(requestID, class, payload)})
}

// Reply hands a run the reply to the call that it waits for. The protocol gives a reply no number: sent again after a
// break, it would answer the run's next call if that had come by then. So a sample asks at once whether it was read, not
// only at the next sweep, and a break leaves in doubt only what the agent reads within a round trip.
func (l *Link) Reply(requestID string, payload []byte) {
	l.sendCommand(command{requestID: requestID, line: encodeReply(requestID, payload), nonIdempotent: true})
	if l.state() == ready && l.current.unansweredSamples == 0 {
		l.sendSample()
	}
}

// SkipCall lets a run go on without the call that the notification at offset asked for.
func (l *Link) SkipCall(requestID string, offset int64) {
	l.sendCommand(command{requestID: requestID, line: encodeSkipCall(requestID, offset)})
}

// DiscardCommands has the commands about a request not sent again: a notification about it proves that they were read,
// or nobody wants them any more.
func (l *Link) DiscardCommands(requestID string) { l.commands.removeRequest(requestID) }

// SampleGauges asks for the gauges, whose GaugeSample is handed to the Handler, and replaces a connection that brings
// nothing. It is called periodically, at each sweep.
func (l *Link) SampleGauges() {
	if l.state() == ready {
		l.sendSample()
	}
	l.CheckLiveness()
}

// DeepCheck asks for the work of a deep health check, whose DeepCheckOutcome names the token. It is not sent again after
// a break. Its error is ErrNotConnected.
func (l *Link) DeepCheck(token string) error {
	if l.state() != ready {
		return ErrNotConnected
	}
	l.current.queue.Send(encodeDeepCheck(token))
	return nil
}

// CheckLiveness aborts a connection that brings nothing, for another to be opened. SampleGauges does the same, but is
// not called before the first handshake.
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

// sendCommand numbers a command and sends it, now or once a connection takes commands.
func (l *Link) sendCommand(added command) {
	l.commands.add(added)
	if l.state() == ready {
		l.current.queue.Send(added.line)
	}
}

// sendSample asks for the gauges, and so whether the commands sent before were read. Its token is its number.
func (l *Link) sendSample() {
	l.current.unansweredSamples++
	l.current.queue.Send(encodeSample(l.commands.nextSequence()))
}

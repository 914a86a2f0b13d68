// Package agent holds the link to the agent that runs requests: its protocol, reconnecting, and what makes sure that
// neither a command nor a notification is lost when a connection breaks.
package agent

import (
	"context"
	"errors"
	"time"

	"falldeal/internal/backoff"
	"falldeal/internal/logging"
	"falldeal/internal/reconnect"
)

const (
	writeQueueSize = 4096 // commands that wait to be written
	minBackoff     = 10 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	jitterStream   = 0xa6e27 // sets the agent's jitter apart from that of other links of one server
)

// ErrNotConnected reports that no connection to the agent takes commands at present.
var ErrNotConnected = errors.New("no link to the agent")

// Link is the link to the agent. Its methods but Run belong to the goroutine of the loop that post hands functions to.
type Link struct {
	connections    *reconnect.Link
	post           func(func()) // hands a function to the loop
	onNotification func(Notification)
	onLost         func()               // notifications have been lost for good
	now            func() time.Duration // the loop's clock; nil: silent connections stay
	log            *logging.Limiter

	current           *connection // nil: disconnected
	connectionsOpened uint64
	agent             incarnation
	lastOffset        int64 // of the last notification read
	lastSequence      int64 // counts commands and samples; a sample's number is its token
	unacknowledged    commandLog
}

// New returns a Link to the agent at address that calls onNotification, within the loop, with each notification once.
// The jitter of its reconnecting follows from seed.
func New(address string, seed uint64, post func(func()), onNotification func(Notification), log *logging.Limiter) *Link {
	config := reconnect.Config{
		Backoff: backoff.Config{
			BaseDelay: minBackoff,
			MaxDelay:  maxBackoff,
			Seed:      seed,
			Stream:    jitterStream,
		},
		WriteQueueSize: writeQueueSize,
	}
	return &Link{connections: reconnect.New(address, config), post: post, onNotification: onNotification, log: log}
}

// Watch has open connections replaced that bring nothing. now is the loop's clock. onLost is called within the loop
// where notifications are lost for good, and so the outcome of runs in flight: the agent keeps the last 4,000
// notifications, and none where it was restarted.
func (l *Link) Watch(now func() time.Duration, onLost func()) { l.now, l.onLost = now, onLost }

// SetAddress has a connection opened to another address. The present one is used until that is open.
func (l *Link) SetAddress(address string) { l.connections.SetAddress(address) }

// ConnectionsOpened returns how many connections have been opened.
func (l *Link) ConnectionsOpened() uint64 { return l.connectionsOpened }

// Run keeps a connection open to the address in force until ctx ends.
func (l *Link) Run(ctx context.Context) error { return l.connections.Run(ctx, connectionHandler{l}) }

// Launch runs a request.
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

// DiscardCommands drops the commands about a request, which need not be sent again: a notification about it proves that they
// were read, or nobody wants them any more.
func (l *Link) DiscardCommands(requestID string) { l.unacknowledged.removeRequest(requestID) }

// SampleGauges asks for the gauges, and replaces a connection that brings nothing.
func (l *Link) SampleGauges() {
	if l.state() == ready {
		l.sendSample()
	}
	l.CheckLiveness()
}

// DeepCheck asks for the work of a deep health check, whose end names the token. Its error is ErrNotConnected.
func (l *Link) DeepCheck(token string) error {
	if l.state() != ready {
		return ErrNotConnected
	}
	l.current.queue.Send(encodeDeepCheck(token))
	return nil
}

// sendCommand numbers a command and sends it, now or once a connection takes commands.
func (l *Link) sendCommand(added command) {
	l.lastSequence++
	added.sequence = l.lastSequence
	l.unacknowledged.add(added)
	if l.state() == ready {
		l.current.queue.Send(added.line)
	}
}

func (l *Link) sendSample() {
	l.lastSequence++
	l.current.unansweredSamples++
	l.current.queue.Send(encodeSample(l.lastSequence))
}

// Package writequeue writes to a connection what others queue, without ever holding them up.
package writequeue

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	writeTimeout  = 20 * time.Second // a peer's machine may stand still for a while
	maxBatchBytes = 8 << 10          // bytes from which on no further message joins a write
)

// Queue is the writing side of a connection.
type Queue struct {
	conn           net.Conn
	closeWriteOnly bool // only this side is closed at the end
	pending        chan []byte
	closeOnce      sync.Once
	closing        chan struct{}
	unwritten      atomic.Int64 // messages that were queued and are not written yet
	endOnce        sync.Once
}

// New returns an Outbox for conn in which up to room messages may wait.
func New(conn net.Conn, capacity int) *Queue {
	return &Queue{conn: conn, pending: make(chan []byte, capacity), closing: make(chan struct{})}
}

// NewHalf returns one that closes the writing side alone, when all is written or that fails. Its owner closes the
// connection once it has read what the peer sent meanwhile: one that is closed over unread bytes takes with it what
// was written last.
func NewHalf(conn net.Conn, capacity int) *Queue {
	queue := New(conn, capacity)
	queue.closeWriteOnly = true
	return queue
}

// Send queues b, which must not be changed any more. A peer that does not read loses the connection.
func (o *Queue) Send(b []byte) {
	o.unwritten.Add(1)
	select {
	case o.pending <- b:
	default:
		o.closeConn()
	}
}

// Abort closes the connection whatever waits, and whatever hangs on it.
func (o *Queue) Abort() { o.conn.Close() }

func (o *Queue) closeConn() {
	o.endOnce.Do(func() {
		if side, ok := o.conn.(interface{ CloseWrite() error }); !o.closeWriteOnly || !ok || side.CloseWrite() != nil {
			o.conn.Close()
		}
	})
}

// CloseNow is Close for whoever calls Send: where nothing is left to be written, the connection is closed when it returns.
func (o *Queue) CloseNow() {
	if o.unwritten.Load() == 0 {
		o.closeConn()
	}
	o.Close()
}

// Close has Run write what waits and then close the connection. It may be called more than once.
func (o *Queue) Close() { o.closeOnce.Do(func() { close(o.closing) }) }

// Run writes, several messages at a time where they wait, until Close is called or the peer fails. The
// connection is closed when it returns, or that side of it.
func (o *Queue) Run() error {
	defer o.closeConn()
	for {
		select {
		case b := <-o.pending:
			if err := o.write(b); err != nil {
				return err
			}
		case <-o.closing:
			for len(o.pending) > 0 {
				if err := o.write(<-o.pending); err != nil {
					return err
				}
			}
			return nil
		}
	}
}

// write writes b and what waits behind it. Most connections write little and seldom, so none has a
// buffer of its own.
func (o *Queue) write(b []byte) error {
	written := int64(1)
	for ; len(o.pending) > 0 && len(b) < maxBatchBytes; written++ {
		b = append(b[:len(b):len(b)], <-o.pending...)
	}
	defer func() { o.unwritten.Add(-written) }()
	if err := o.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := o.conn.Write(b)
	return err
}

// Package writequeue writes messages to a connection in the background, so that the sender never blocks.
//
// The owner of a connection runs Run on a goroutine. The other methods, except for CloseNow, may be called from any
// goroutine. A peer that does not read is disconnected when the queue is full or a write takes longer than 20 s.
package writequeue

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	writeTimeout  = 20 * time.Second // long enough for a pause of the peer's machine
	maxBatchBytes = 8 << 10          // a batch of this size takes no further message
)

// Queue is the write side of a connection. After Close, Run writes the messages that are still queued and closes the
// connection. A failed write, a full queue or Abort closes the connection at once. For a Queue of NewHalf, "closes the
// connection" means only its write side in the comments of this file, except for Abort.
type Queue struct {
	conn           net.Conn
	closeWriteOnly bool         // closeConn closes only the write side of conn
	pending        chan []byte  // messages that Run has yet to take
	unwritten      atomic.Int64 // number of messages that are queued or being written

	closeOnce sync.Once
	closing   chan struct{} // closed by Close

	closeConnOnce sync.Once // makes further calls of closeConn do nothing
}

// New returns a Queue for conn that holds up to capacity messages.
func New(conn net.Conn, capacity int) *Queue {
	return &Queue{conn: conn, pending: make(chan []byte, capacity), closing: make(chan struct{})}
}

// NewHalf returns a Queue that closes only the write side of conn, except in Abort. The owner closes the connection after
// it has read everything that the peer has sent: closing a connection with unread input resets it, and the messages
// written last are lost.
func NewHalf(conn net.Conn, capacity int) *Queue {
	queue := New(conn, capacity)
	queue.closeWriteOnly = true
	return queue
}

// Send queues a message, which must not be modified afterwards. It never blocks: if the queue is full, it closes the
// connection.
func (q *Queue) Send(b []byte) {
	q.unwritten.Add(1)
	select {
	case q.pending <- b:
	default:
		q.closeConn()
	}
}

// Unwritten returns the number of messages that are queued or being written. It may be called from any goroutine.
func (q *Queue) Unwritten() int { return int(q.unwritten.Load()) }

// Close makes Run write the messages that are still queued, and then close the connection. It may be called repeatedly.
func (q *Queue) Close() { q.closeOnce.Do(func() { close(q.closing) }) }

// CloseNow is like Close, but if all messages have been written, it closes the connection before it returns. It must be
// called on the goroutine that calls Send: the message of a concurrent Send could be lost.
func (q *Queue) CloseNow() {
	if q.unwritten.Load() == 0 {
		q.closeConn()
	}
	q.Close()
}

// Abort closes the connection at once, even if messages are queued or a write is blocked.
func (q *Queue) Abort() { _ = q.conn.Close() }

// Run writes messages until Close is called or a write fails, and returns the error of that write. Messages that are
// queued at the same time are written together. On return the connection, or its write side, is closed.
func (q *Queue) Run() error {
	defer q.closeConn()
	for {
		select {
		case b := <-q.pending:
			if err := q.write(b); err != nil {
				return err
			}
		case <-q.closing:
			return q.flush()
		}
	}
}

// flush writes the messages that are still queued.
func (q *Queue) flush() error {
	for len(q.pending) > 0 {
		if err := q.write(<-q.pending); err != nil {
			return err
		}
	}
	return nil
}

// write writes a message together with further queued ones. A batch is assembled in newly allocated memory: most
// connections write rarely, and a buffer kept for each of them would waste memory.
func (q *Queue) write(first []byte) error {
	batch := first
	messages := int64(1)
	for len(q.pending) > 0 && len(batch) < maxBatchBytes {
		batch = append(batch[:len(batch):len(batch)], <-q.pending...)
		messages++
	}
	defer q.unwritten.Add(-messages)
	if err := q.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if _, err := q.conn.Write(batch); err != nil {
		return fmt.Errorf("write to peer: %w", err)
	}
	return nil
}

// closeConn closes the connection, or only its write side if closeWriteOnly is set and the connection supports that.
func (q *Queue) closeConn() {
	q.closeConnOnce.Do(func() {
		if q.closeWriteOnly && closeWrite(q.conn) {
			return
		}
		_ = q.conn.Close() // an error means that the connection is closed already
	})
}

// closeWrite closes the write side of a connection, and reports whether that succeeded.
func closeWrite(conn net.Conn) bool {
	half, ok := conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

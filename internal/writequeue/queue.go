// Package writequeue writes queued messages to a connection, so that whoever queues them never blocks.
//
// The owner of a connection runs Run on a goroutine; any goroutine may call the other methods. A peer that does not
// read is disconnected as soon as the queue is full or a write takes longer than 20 s.
package writequeue

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	writeTimeout  = 20 * time.Second // a peer's machine may be paused for a while
	maxBatchBytes = 8 << 10          // from which on no further message joins a write
)

// Queue is the write side of a connection. It is open until Close, then writes what is queued, and is closed by Run; a
// failed write, a queue that is full, or Abort end it at once.
type Queue struct {
	conn           net.Conn
	closeWriteOnly bool // whether only the write side is closed at the end
	pending        chan []byte
	unwritten      atomic.Int64 // messages that were queued and are not written yet

	closeOnce sync.Once
	closing   chan struct{} // closed by Close

	connCloser sync.Once
}

// New returns a Queue for conn that holds up to capacity messages.
func New(conn net.Conn, capacity int) *Queue {
	return &Queue{conn: conn, pending: make(chan []byte, capacity), closing: make(chan struct{})}
}

// NewHalf returns a Queue that at the end closes only the write side of conn. Its owner closes the connection once it
// has read what the peer sent meanwhile: a connection that is closed over unread bytes is reset, and what was written
// last is lost.
func NewHalf(conn net.Conn, capacity int) *Queue {
	queue := New(conn, capacity)
	queue.closeWriteOnly = true
	return queue
}

// Send queues a message, which must not be changed any more. It never blocks: where the queue is full the connection
// is closed.
func (q *Queue) Send(b []byte) {
	q.unwritten.Add(1)
	select {
	case q.pending <- b:
	default:
		q.closeConn()
	}
}

// Close has Run write what is queued and then close the connection. It may be called more than once.
func (q *Queue) Close() { q.closeOnce.Do(func() { close(q.closing) }) }

// CloseNow is Close for the goroutine that calls Send: where all is written, the connection is closed on return.
func (q *Queue) CloseNow() {
	if q.unwritten.Load() == 0 {
		q.closeConn()
	}
	q.Close()
}

// Abort closes the connection at once, also where messages are queued or a write hangs.
func (q *Queue) Abort() { _ = q.conn.Close() }

// Run writes messages, several at a time where they are queued, until Close is called or a write fails; it returns the
// error of that write. When it returns, the connection is closed, or its write side.
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

// flush writes what is queued.
func (q *Queue) flush() error {
	for len(q.pending) > 0 {
		if err := q.write(<-q.pending); err != nil {
			return err
		}
	}
	return nil
}

// write writes a message together with further ones that are queued. The batch is put together in new memory: most
// connections write little and seldom, so none keeps a buffer.
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

// closeConn closes the connection, or its write side where that is what the owner wants and the connection can do.
func (q *Queue) closeConn() {
	q.connCloser.Do(func() {
		if q.closeWriteOnly && closeWrite(q.conn) {
			return
		}
		_ = q.conn.Close() // a connection that is closed already is what is wanted
	})
}

// closeWrite closes the write side of a connection, and reports whether that can be done.
func closeWrite(conn net.Conn) bool {
	half, ok := conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

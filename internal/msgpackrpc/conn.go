package msgpackrpc

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"falldeal/internal/server"
)

const (
	maxOpen      = 32               // requests open on one connection
	outRoom      = 4 * maxOpen      // messages that wait to be written on one connection
	writeTimeout = 20 * time.Second // a peer's machine may stand still for a while
)

// conn is one connection of a front end. Its reader and its writer are goroutines; Answer, Closing
// and Close are called from the server's loop and never block.
type conn struct {
	net  net.Conn
	out  chan []byte
	end  sync.Once
	stop chan struct{} // closed by Close: write what waits, then close
}

func newConn(nc net.Conn) *conn {
	return &conn{net: nc, out: make(chan []byte, outRoom), stop: make(chan struct{})}
}

// read hands over messages until the connection ends. Broken framing ends it.
func (c *conn) read(s *server.Server) error {
	d := decoder{in: bufio.NewReaderSize(c.net, 4<<10)}
	for {
		v, err := d.next()
		if err != nil {
			return err
		}
		m, err := parseMessage(v)
		if err != nil {
			return fmt.Errorf("%s: %w", c.net.RemoteAddr(), err)
		}
		if m.kind == kindNotification {
			if id, ok := parseCancel(m); ok {
				s.Cancel(c, id)
			}
			continue
		}
		if m.method == methodHealth {
			deep, err := parseProbe(m)
			if err != nil {
				s.Wrong(c, m.id, err)
			} else {
				s.Probe(c, m.id, deep)
			}
			continue
		}
		t, err := parseTry(m)
		if err != nil {
			s.Wrong(c, m.id, err)
			continue
		}
		s.Submit(c, m.id, t)
	}
}

// write sends what the loop hands over, several messages at a time where they wait.
func (c *conn) write() {
	defer c.net.Close()
	w := bufio.NewWriterSize(c.net, 8<<10)
	for {
		select {
		case b := <-c.out:
			if !c.send(w, b) {
				return
			}
		case <-c.stop:
			for {
				select {
				case b := <-c.out:
					if !c.send(w, b) {
						return
					}
				default:
					return
				}
			}
		}
	}
}

func (c *conn) send(w *bufio.Writer, b []byte) bool {
	if err := c.net.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false
	}
	if _, err := w.Write(b); err != nil {
		return false
	}
	return len(c.out) > 0 || w.Flush() == nil
}

// queue drops the connection of a peer that does not read.
func (c *conn) queue(b []byte) {
	select {
	case c.out <- b:
	default:
		c.net.Close()
	}
}

// Answer implements server.Peer.
func (c *conn) Answer(call uint32, a server.Answer) { c.queue(appendAnswer(nil, call, a)) }

// Closing implements server.Peer.
func (c *conn) Closing() { c.queue(appendClosing(nil)) }

// Close implements server.Peer: what was handed over is written first.
func (c *conn) Close() { c.end.Do(func() { close(c.stop) }) }

// MostOpen implements server.Peer.
func (c *conn) MostOpen() int { return maxOpen }

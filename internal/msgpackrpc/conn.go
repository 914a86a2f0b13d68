package msgpackrpc

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"falldeal/internal/outbox"
	"falldeal/internal/server"
)

const (
	maxOpen = 32              // requests open on one connection
	outRoom = 4 * maxOpen     // messages that wait to be written on one connection
	within  = 2 * time.Second // for the first message of a connection, and for the rest of one that has begun
)

// conn is one connection of a front end. Its reader and its outbox run in goroutines of their own;
// the server's loop calls Answer, Closing and Close, none of which blocks.
type conn struct {
	*outbox.Outbox
	net net.Conn
}

func newConn(nc net.Conn) *conn { return &conn{outbox.New(nc, outRoom), nc} }

// read hands over messages until the connection ends. Broken framing ends it, and so does a message that
// does not come to its end: a connection that says nothing takes the place of a front end.
func (c *conn) read(s *server.Server) error {
	d := decoder{in: bufio.NewReaderSize(c.net, 4<<10)}
	for first := true; ; first = false {
		if !first {
			if _, err := d.in.Peek(1); err != nil {
				return err
			}
		}
		if err := c.net.SetReadDeadline(time.Now().Add(within)); err != nil {
			return err
		}
		v, err := d.next()
		if err != nil {
			return err
		}
		if err := c.net.SetReadDeadline(time.Time{}); err != nil {
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

// Answer implements server.Peer.
func (c *conn) Answer(call uint32, a server.Answer) { c.Send(appendAnswer(nil, call, a)) }

// Closing implements server.Peer.
func (c *conn) Closing() { c.Send(appendClosing(nil)) }

// MostOpen implements server.Peer.
func (c *conn) MostOpen() int { return maxOpen }

package msgpackrpc

import (
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
	in := frames{from: c.net, begun: c.limit, late: true} // the first message has a limit from the start
	if err := c.limit(true); err != nil {
		return err
	}
	var known names
	for {
		frame, err := in.next()
		if err != nil {
			return err
		}
		m, err := parseMessage(frame)
		if err != nil {
			return fmt.Errorf("%s: %w", c.net.RemoteAddr(), err)
		}
		if m.kind == kindNotification {
			if id, ok := parseCancel(m); ok {
				s.Cancel(c, id)
			}
			continue
		}
		if string(m.method) == methodHealth {
			deep, err := parseProbe(m)
			if err != nil {
				s.Wrong(c, m.id, err)
			} else {
				s.Probe(c, m.id, deep)
			}
			continue
		}
		t, err := parseTry(m, &known)
		if err != nil {
			s.Wrong(c, m.id, err)
			continue
		}
		s.Submit(c, m.id, t)
	}
}

// limit sets or lifts the limit on the time that a read may take.
func (c *conn) limit(on bool) error {
	var until time.Time
	if on {
		until = time.Now().Add(within)
	}
	return c.net.SetReadDeadline(until)
}

// Answer implements server.Peer.
func (c *conn) Answer(call uint32, a server.Answer) { c.Send(appendAnswer(nil, call, a)) }

// Closing implements server.Peer.
func (c *conn) Closing() { c.Send(appendClosing(nil)) }

// MostOpen implements server.Peer.
func (c *conn) MostOpen() int { return maxOpen }

package msgpackrpc

import (
	"bufio"
	"fmt"
	"net"

	"falldeal/internal/outbox"
	"falldeal/internal/server"
)

const (
	maxOpen = 32          // requests open on one connection
	outRoom = 4 * maxOpen // messages that wait to be written on one connection
)

// conn is one connection of a front end. Its reader and its outbox run in goroutines of their own;
// the server's loop calls Answer, Closing and Close, none of which blocks.
type conn struct {
	*outbox.Outbox
	net net.Conn
}

func newConn(nc net.Conn) *conn { return &conn{outbox.New(nc, outRoom), nc} }

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

// Answer implements server.Peer.
func (c *conn) Answer(call uint32, a server.Answer) { c.Send(appendAnswer(nil, call, a)) }

// Closing implements server.Peer.
func (c *conn) Closing() { c.Send(appendClosing(nil)) }

// MostOpen implements server.Peer.
func (c *conn) MostOpen() int { return maxOpen }

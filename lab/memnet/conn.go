package memnet

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
)

// conn is one end of a stream.
type conn struct {
	net.Conn      // one end of a net.Pipe
	local, remote *Host
	remoteAddr    string // address of the remote host
}

// Write discards the data and reports success if the network has a partition in this direction. On a real network, too,
// the kernel accepts data that then does not arrive.
func (c *conn) Write(b []byte) (int, error) {
	if c.local.network.fault(c.local.addr, c.remote.addr).Partition {
		return len(b), nil
	}
	return c.Conn.Write(b) //nolint:wrapcheck // callers of a net.Conn compare errors as they are
}

// Read returns ECONNRESET if this end is closed, for example because Kill has taken its host down. If the other end is
// closed, it returns io.EOF.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.ErrClosedPipe) {
		err = fmt.Errorf("read: %w", syscall.ECONNRESET)
	}
	return n, err
}

// Close closes this end of the stream. Reads from the other end then return io.EOF.
func (c *conn) Close() error {
	c.local.network.mu.Lock()
	delete(c.local.conns, c)
	c.local.network.mu.Unlock()
	return c.Conn.Close() //nolint:wrapcheck // callers of a net.Conn compare errors as they are
}

// RemoteAddr returns the address of the remote host.
func (c *conn) RemoteAddr() net.Addr {
	addr := udpAddr(c.remoteAddr)
	return &net.TCPAddr{IP: addr.IP, Port: addr.Port}
}

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
	net.Conn      // a pipe
	local, remote *Host
	remoteAddr    string
}

// Write drops what is written into a partition, as the network does with what a socket has taken.
func (c *conn) Write(b []byte) (int, error) {
	if c.local.network.fault(c.local.addr, c.remote.addr).Partition {
		return len(b), nil
	}
	return c.Conn.Write(b) //nolint:wrapcheck // callers of a net.Conn compare errors as they are
}

// Read turns the error of a pipe whose other end was closed into that of a socket.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.ErrClosedPipe) {
		err = fmt.Errorf("read: %w", syscall.ECONNRESET)
	}
	return n, err
}

// Close ends the stream for both ends.
func (c *conn) Close() error {
	c.local.network.mu.Lock()
	delete(c.local.conns, c)
	c.local.network.mu.Unlock()
	return c.Conn.Close() //nolint:wrapcheck // callers of a net.Conn compare errors as they are
}

// RemoteAddr returns the address of the host at the other end.
func (c *conn) RemoteAddr() net.Addr {
	addr := udpAddr(c.remoteAddr)
	return &net.TCPAddr{IP: addr.IP, Port: addr.Port}
}

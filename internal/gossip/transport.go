package gossip

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

// boundTransport is memberlist's transport over sockets. It dials from the IP address at which the process listens, so
// that a relay between members, such as the one in lab/faults, can tell by the source address which of them dials.
type boundTransport struct {
	*memberlist.NetTransport
	localIP net.IP // unspecified: the system chooses the address
}

// listen opens the TCP and UDP sockets at addr, an IP address and a port.
func listen(addr string, logger *log.Logger) (*boundTransport, error) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, fmt.Errorf("parsing the address: %w", err)
	}
	portNumber, err := strconv.Atoi(port)
	if err != nil {
		return nil, fmt.Errorf("parsing the port: %w", err)
	}
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{host}, BindPort: portNumber, Logger: logger,
	})
	if err != nil {
		return nil, fmt.Errorf("opening the sockets: %w", err)
	}
	return &boundTransport{transport, net.ParseIP(host)}, nil
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *boundTransport) DialAddressTimeout(target memberlist.Address, limit time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: limit}
	if !t.localIP.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: t.localIP}
	}
	conn, err := dialer.DialContext(context.Background(), "tcp", target.Addr)
	if err != nil {
		return nil, fmt.Errorf("dialing a member: %w", err)
	}
	return conn, nil
}

// DialTimeout implements memberlist.Transport.
func (t *boundTransport) DialTimeout(addr string, limit time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, limit)
}

// countingTransport counts what is sent, and observes the dials of the rejoin rounds.
type countingTransport struct {
	memberlist.NodeAwareTransport
	counters *Counters
	dial     dialObserver // of the address that a rejoin round dials
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *countingTransport) WriteToAddress(b []byte, target memberlist.Address) (time.Time, error) {
	t.counters.PacketsOut.Add(1)
	t.counters.BytesOut.Add(int64(len(b)))
	return t.NodeAwareTransport.WriteToAddress(b, target) //nolint:wrapcheck // passed through
}

// WriteTo implements memberlist.Transport.
func (t *countingTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *countingTransport) DialAddressTimeout(target memberlist.Address, limit time.Duration) (net.Conn, error) {
	conn, err := t.NodeAwareTransport.DialAddressTimeout(target, limit)
	if err != nil {
		t.dial.recordError(target.Addr, err)
		return nil, err //nolint:wrapcheck // passed through
	}
	t.counters.Streams.Add(1)
	return &countingConn{Conn: conn, transport: t, addr: target.Addr}, nil
}

// DialTimeout implements memberlist.Transport.
func (t *countingTransport) DialTimeout(addr string, limit time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, limit)
}

// countingConn counts what is written, and reports errors and received bytes to the dialObserver.
type countingConn struct {
	net.Conn
	transport *countingTransport
	addr      string
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.transport.counters.StreamBytes.Add(int64(n))
	if err != nil {
		c.transport.dial.recordError(c.addr, err)
	}
	return n, err //nolint:wrapcheck // passed through
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.transport.dial.recordResponse(c.addr)
	}
	if isTimeout(err) {
		c.transport.dial.recordError(c.addr, errNoResponse)
	} else if err != nil {
		c.transport.dial.recordError(c.addr, err)
	}
	return n, err //nolint:wrapcheck // readers compare it with io.EOF
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

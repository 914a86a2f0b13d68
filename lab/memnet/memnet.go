// Package memnet is a network in memory between the members of a fleet, with faults by pair: for tests in a
// testing/synctest bubble, where hundreds of members live for minutes in a second. Faults, losses and delays are drawn
// from a seed. What it leaves out: bandwidth, and queues on the way. Each host holds a bounded number of packets and
// drops what is more; every goroutine ends with its host.
package memnet

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	packetsHeld = 512 // of one host, not read yet
	streamsHeld = 64
)

// Fault is what happens to what one host sends to another.
type Fault struct {
	Partition                 bool
	LossRatio, DuplicateRatio float64       // share of the packets that are lost, and that come twice
	Delay, Jitter             time.Duration // of packets; those with different jitter overtake one another
}

// Network is a network. Its methods may be called from any goroutine.
type Network struct {
	mu    sync.Mutex
	rand  *rand.Rand
	hosts map[string]*Host
	rule  func(from, to string) Fault

	Packets, Bytes int64 // that were sent; read them when all hosts are down
}

// New returns a network whose losses and delays are drawn from seed. Without a rule nothing goes wrong.
func New(seed uint64) *Network {
	return &Network{rand: rand.New(rand.NewPCG(seed, 1)), hosts: map[string]*Host{}, rule: func(string, string) Fault { return Fault{} }}
}

// SetRule puts other faults in force. Hosts are named by their addresses.
func (n *Network) SetRule(rule func(from, to string) Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rule = rule
}

// Host is one end of the network: a transport of memberlist.
type Host struct {
	net     *Network
	addr    string
	packets chan *memberlist.Packet
	streams chan net.Conn
	down    bool // under the network's lock
	conns   map[*conn]bool
}

// Host returns a new host at an address, IP and port; one that was there before is down.
func (n *Network) Host(addr string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := &Host{net: n, addr: addr, packets: make(chan *memberlist.Packet, packetsHeld), streams: make(chan net.Conn, streamsHeld),
		conns: map[*conn]bool{}}
	n.hosts[addr] = h
	return h
}

// Kill takes the host away without a word; calls to it are refused from now on.
func (h *Host) Kill() {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.down = true
	for c := range h.conns {
		c.Conn.Close()
	}
}

// FinalAdvertiseAddr, WriteTo, WriteToAddress, PacketCh, DialTimeout, DialAddressTimeout, StreamCh and Shutdown are
// those of memberlist's transport.
func (h *Host) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	a, err := net.ResolveUDPAddr("udp", h.addr)
	if err != nil {
		return nil, 0, err
	}
	return a.IP, a.Port, nil
}

func (h *Host) WriteTo(b []byte, addr string) (time.Time, error) {
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if h.down {
		return now, net.ErrClosed
	}
	n.Packets++
	n.Bytes += int64(len(b))
	f := n.rule(h.addr, addr)
	if f.Partition || n.rand.Float64() < f.LossRatio {
		return now, nil
	}
	copies := 1
	if n.rand.Float64() < f.DuplicateRatio {
		copies = 2
	}
	for range copies {
		p := &memberlist.Packet{Buf: append([]byte(nil), b...), From: udpAddr(h.addr)}
		delay := f.Delay
		if f.Jitter > 0 {
			delay += time.Duration(n.rand.Int64N(int64(f.Jitter)))
		}
		time.AfterFunc(delay, func() { n.deliver(addr, p) })
	}
	return now, nil
}

func (n *Network) deliver(addr string, p *memberlist.Packet) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if to := n.hosts[addr]; to != nil && !to.down {
		p.Timestamp = time.Now()
		select {
		case to.packets <- p:
		default: // as a full socket does
		}
	}
}

func udpAddr(addr string) net.Addr {
	a, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		panic(err) // hosts are named by IP and port
	}
	return a
}

func (h *Host) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return h.WriteTo(b, a.Addr)
}

func (h *Host) PacketCh() <-chan *memberlist.Packet { return h.packets }
func (h *Host) StreamCh() <-chan net.Conn           { return h.streams }

func (h *Host) DialAddressTimeout(a memberlist.Address, limit time.Duration) (net.Conn, error) {
	return h.DialTimeout(a.Addr, limit)
}

func (h *Host) DialTimeout(addr string, limit time.Duration) (net.Conn, error) {
	n := h.net
	n.mu.Lock()
	there, back, to := n.rule(h.addr, addr), n.rule(addr, h.addr), n.hosts[addr]
	n.mu.Unlock()
	if there.Partition || back.Partition || to == nil {
		time.Sleep(limit)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	time.Sleep(there.Delay + back.Delay)
	n.mu.Lock()
	defer n.mu.Unlock()
	if to.down || h.down {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	a, b := &conn{near, h, to, addr}, &conn{far, to, h, h.addr}
	select {
	case to.streams <- b:
	default:
		near.Close()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	h.conns[a], to.conns[b] = true, true
	return a, nil
}

// Shutdown is the end of a host that ends by itself. What waits unread is closed.
func (h *Host) Shutdown() error {
	h.Kill()
	for {
		select {
		case c := <-h.streams:
			c.Close()
		default:
			return nil
		}
	}
}

// conn is one end of a stream. While its way is cut nothing of it arrives.
type conn struct {
	net.Conn
	own, peer *Host
	addr      string
}

func (c *conn) Write(b []byte) (int, error) {
	c.own.net.mu.Lock()
	f := c.own.net.rule(c.own.addr, c.peer.addr)
	c.own.net.mu.Unlock()
	if f.Partition {
		return len(b), nil // taken by the kernel, and lost on the way
	}
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.own.net.mu.Lock()
	delete(c.own.conns, c)
	c.own.net.mu.Unlock()
	return c.Conn.Close()
}

func (c *conn) RemoteAddr() net.Addr {
	a := udpAddr(c.addr).(*net.UDPAddr)
	return &net.TCPAddr{IP: a.IP, Port: a.Port}
}

// Read turns the pipe's end into that of a socket.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.ErrClosedPipe) {
		err = fmt.Errorf("read: %w", syscall.ECONNRESET)
	}
	return n, err
}

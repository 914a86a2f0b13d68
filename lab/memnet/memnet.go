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
	packetQueue = 512 // of one host, not read yet
	streamQueue = 64
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
	network *Network
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
	h := &Host{network: n, addr: addr, packets: make(chan *memberlist.Packet, packetQueue), streams: make(chan net.Conn, streamQueue),
		conns: map[*conn]bool{}}
	n.hosts[addr] = h
	return h
}

// Kill takes the host away without a word; calls to it are refused from now on.
func (h *Host) Kill() {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
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
	network := h.network
	network.mu.Lock()
	defer network.mu.Unlock()
	now := time.Now()
	if h.down {
		return now, net.ErrClosed
	}
	network.Packets++
	network.Bytes += int64(len(b))
	fault := network.rule(h.addr, addr)
	if fault.Partition || network.rand.Float64() < fault.LossRatio {
		return now, nil
	}
	copies := 1
	if network.rand.Float64() < fault.DuplicateRatio {
		copies = 2
	}
	for range copies {
		packet := &memberlist.Packet{Buf: append([]byte(nil), b...), From: udpAddr(h.addr)}
		delay := fault.Delay
		if fault.Jitter > 0 {
			delay += time.Duration(network.rand.Int64N(int64(fault.Jitter)))
		}
		time.AfterFunc(delay, func() { network.deliver(addr, packet) })
	}
	return now, nil
}

func (n *Network) deliver(addr string, packet *memberlist.Packet) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if to := n.hosts[addr]; to != nil && !to.down {
		packet.Timestamp = time.Now()
		select {
		case to.packets <- packet:
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

func (h *Host) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	return h.WriteTo(b, to.Addr)
}

func (h *Host) PacketCh() <-chan *memberlist.Packet { return h.packets }
func (h *Host) StreamCh() <-chan net.Conn           { return h.streams }

func (h *Host) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return h.DialTimeout(to.Addr, timeout)
}

func (h *Host) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	network := h.network
	network.mu.Lock()
	forward, back, target := network.rule(h.addr, addr), network.rule(addr, h.addr), network.hosts[addr]
	network.mu.Unlock()
	if forward.Partition || back.Partition || target == nil {
		time.Sleep(timeout)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	time.Sleep(forward.Delay + back.Delay)
	network.mu.Lock()
	defer network.mu.Unlock()
	if target.down || h.down {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	localEnd, remoteEnd := net.Pipe()
	dialed, accepted := &conn{localEnd, h, target, addr}, &conn{remoteEnd, target, h, h.addr}
	select {
	case target.streams <- accepted:
	default:
		localEnd.Close()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	h.conns[dialed], target.conns[accepted] = true, true
	return dialed, nil
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
	local, remote *Host
	remoteAddr    string
}

func (c *conn) Write(b []byte) (int, error) {
	c.local.network.mu.Lock()
	fault := c.local.network.rule(c.local.addr, c.remote.addr)
	c.local.network.mu.Unlock()
	if fault.Partition {
		return len(b), nil // taken by the kernel, and lost on the way
	}
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.local.network.mu.Lock()
	delete(c.local.conns, c)
	c.local.network.mu.Unlock()
	return c.Conn.Close()
}

func (c *conn) RemoteAddr() net.Addr {
	a := udpAddr(c.remoteAddr).(*net.UDPAddr)
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

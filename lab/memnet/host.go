package memnet

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"
)

// Host is a host in a Network. It implements memberlist.NodeAwareTransport. Its methods are safe for concurrent use.
type Host struct {
	network *Network
	addr    string
	packets chan *memberlist.Packet
	streams chan net.Conn

	// Guarded by network.mu.
	down  bool // the host was killed or shut down
	conns map[*conn]bool
}

var _ memberlist.NodeAwareTransport = (*Host)(nil)

// Kill takes the host down at once: it sends and receives nothing more, its streams are closed, and dials to it are
// refused.
func (h *Host) Kill() {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.down = true
	for c := range h.conns {
		_ = c.Conn.Close() // net.Pipe returns no error
	}
}

// Shutdown implements memberlist.Transport. It takes the host down and closes streams that were not accepted.
func (h *Host) Shutdown() error {
	h.Kill()
	for {
		select {
		case c := <-h.streams:
			_ = c.Close() // net.Pipe returns no error
		default:
			return nil
		}
	}
}

// FinalAdvertiseAddr returns the host's address and ignores the requested one.
func (h *Host) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	addr := udpAddr(h.addr)
	return addr.IP, addr.Port, nil
}

// WriteTo sends a packet and returns the time of sending. A lost packet is not an error.
func (h *Host) WriteTo(b []byte, addr string) (time.Time, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	now := time.Now()
	if h.down {
		return now, net.ErrClosed
	}
	h.network.send(h.addr, addr, b)
	return now, nil
}

// WriteToAddress is WriteTo for an address with a node name, which it ignores.
func (h *Host) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	return h.WriteTo(b, to.Addr)
}

// PacketCh returns the channel of received packets.
func (h *Host) PacketCh() <-chan *memberlist.Packet { return h.packets }

// StreamCh returns the channel of streams that other hosts have opened.
func (h *Host) StreamCh() <-chan net.Conn { return h.streams }

// DialAddressTimeout is DialTimeout for an address with a node name, which it ignores.
func (h *Host) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return h.DialTimeout(to.Addr, timeout)
}

// DialTimeout opens a stream. It times out if there is a partition in either direction or no host has ever had the
// address. It is refused if either host is down or the other one has too many streams that it has not accepted.
func (h *Host) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	network := h.network
	network.mu.Lock()
	forward := network.rule(h.addr, addr)
	back := network.rule(addr, h.addr)
	target := network.hosts[addr]
	network.mu.Unlock()
	if forward.Partition || back.Partition || target == nil {
		time.Sleep(timeout)
		return nil, dialError(os.ErrDeadlineExceeded)
	}
	time.Sleep(forward.Delay + back.Delay)
	network.mu.Lock()
	defer network.mu.Unlock()
	if target.down || h.down {
		return nil, dialError(syscall.ECONNREFUSED)
	}
	localEnd, remoteEnd := net.Pipe()
	dialed := &conn{Conn: localEnd, local: h, remote: target, remoteAddr: addr}
	accepted := &conn{Conn: remoteEnd, local: target, remote: h, remoteAddr: h.addr}
	select {
	case target.streams <- accepted:
	default:
		_ = localEnd.Close() // net.Pipe returns no error
		return nil, dialError(syscall.ECONNREFUSED)
	}
	h.conns[dialed] = true
	target.conns[accepted] = true
	return dialed, nil
}

func dialError(err error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: err} }

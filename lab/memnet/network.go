// Package memnet is an in-memory network between the members of a fleet, with faults for each pair of hosts. It is
// for tests in a testing/synctest bubble, in which hundreds of members run for minutes of simulated time within a
// second. Losses and delays are drawn from a seed. Bandwidth and queues within the network are not modelled. Each
// host queues a bounded number of packets and drops the rest. A host has no goroutine that would have to be stopped.
package memnet

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	packetQueue = 512 // maximum unread packets of a host
	streamQueue = 64  // maximum unaccepted streams of a host
	// randStream selects a random sequence that differs from those of other packages with the same seed.
	randStream = 1
)

// Fault is the combined effect of faults on the traffic from one host to another. The zero value has no effect.
type Fault struct {
	Partition      bool          // nothing arrives
	LossRatio      float64       // fraction of packets that are lost, from 0 to 1
	DuplicateRatio float64       // fraction of packets that arrive twice, from 0 to 1
	Delay          time.Duration // of each packet and each dial
	Jitter         time.Duration // maximum additional delay of a packet; packets may overtake one another
}

// Network connects hosts. Its methods are safe for concurrent use.
type Network struct {
	// mu guards the fields below.
	mu    sync.Mutex
	rand  *rand.Rand
	hosts map[string]*Host // by address
	rule  func(from, to string) Fault

	// Packets and Bytes count the packets that all hosts have sent, and their payload. Streams are not counted. Both may
	// be read without the lock once all hosts are down.
	Packets, Bytes int64
}

// New returns a network without hosts or faults. It draws losses and delays from seed.
func New(seed uint64) *Network {
	return &Network{
		rand:  rand.New(rand.NewPCG(seed, randStream)),
		hosts: map[string]*Host{},
		rule:  func(string, string) Fault { return Fault{} },
	}
}

// SetRule replaces the faults. The network calls rule with the addresses of two hosts while it holds its lock.
func (n *Network) SetRule(rule func(from, to string) Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rule = rule
}

// Host adds a host at an address of the form IP:PORT. An earlier host at the address must be down.
func (n *Network) Host(addr string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	added := &Host{
		network: n,
		addr:    addr,
		packets: make(chan *memberlist.Packet, packetQueue),
		streams: make(chan net.Conn, streamQueue),
		conns:   map[*conn]bool{},
	}
	n.hosts[addr] = added
	return added
}

// fault returns the current effect on the traffic from one host to another.
func (n *Network) fault(from, to string) Fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rule(from, to)
}

// send sends a packet. The caller must hold n.mu.
func (n *Network) send(from, to string, payload []byte) {
	n.Packets++
	n.Bytes += int64(len(payload))
	fault := n.rule(from, to)
	for range n.drawCopies(fault) {
		packet := &memberlist.Packet{Buf: append([]byte(nil), payload...), From: udpAddr(from)}
		time.AfterFunc(n.drawDelay(fault), func() { n.receive(to, packet) })
	}
}

// drawCopies draws the number of copies of a packet that arrive.
func (n *Network) drawCopies(fault Fault) int {
	if fault.Partition || n.rand.Float64() < fault.LossRatio {
		return 0
	}
	if n.rand.Float64() < fault.DuplicateRatio {
		return 2
	}
	return 1
}

// drawDelay draws the delay of one copy of a packet.
func (n *Network) drawDelay(fault Fault) time.Duration {
	delay := fault.Delay
	if fault.Jitter > 0 {
		delay += time.Duration(n.rand.Int64N(int64(fault.Jitter)))
	}
	return delay
}

// receive queues a packet at its host. It drops the packet if the host is down or its queue is full.
func (n *Network) receive(addr string, packet *memberlist.Packet) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.hosts[addr]
	if to == nil || to.down {
		return
	}
	packet.Timestamp = time.Now()
	select {
	case to.packets <- packet:
	default:
	}
}

func udpAddr(addr string) *net.UDPAddr {
	resolved, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		panic(err) // addresses of hosts are IP:PORT, which needs no lookup
	}
	return resolved
}

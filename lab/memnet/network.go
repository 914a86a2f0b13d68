// Package memnet is a network in memory between the members of a fleet, with faults for each pair of hosts. It is for
// tests in a testing/synctest bubble, where hundreds of members live for minutes within a second. Losses and delays
// are drawn from a seed. It leaves out bandwidth and queues on the way. Each host queues a bounded number of packets
// and drops the rest; nothing of a host runs on after it.
package memnet

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	packetQueue = 512 // unread packets of a host
	streamQueue = 64  // unaccepted streams of a host
	// randStream keeps the random sequence apart from those of other parts with the same seed.
	randStream = 1
)

// Fault is the effect of faults on the traffic from one host to another. The zero value is none.
type Fault struct {
	Partition      bool          // nothing arrives
	LossRatio      float64       // of packets that are lost, from 0 to 1
	DuplicateRatio float64       // of packets that arrive twice, from 0 to 1
	Delay          time.Duration // of packets and dials
	Jitter         time.Duration // up to which packets are delayed further, so that they overtake one another
}

// Network connects hosts. Its methods may be called from any goroutine.
type Network struct {
	mu    sync.Mutex
	rand  *rand.Rand
	hosts map[string]*Host // by address
	rule  func(from, to string) Fault

	// Packets and Bytes count what hosts have sent. They may be read once all hosts are down.
	Packets, Bytes int64
}

// New returns a network without hosts and faults, which draws losses and delays from seed.
func New(seed uint64) *Network {
	return &Network{
		rand:  rand.New(rand.NewPCG(seed, randStream)),
		hosts: map[string]*Host{},
		rule:  func(string, string) Fault { return Fault{} },
	}
}

// SetRule replaces the faults. Rule is called with the addresses of two hosts, while the network is locked.
func (n *Network) SetRule(rule func(from, to string) Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rule = rule
}

// Host returns a new host at an address, IP and port. A host that had the address before must be down.
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

// fault returns the present effect on the traffic from one host to another.
func (n *Network) fault(from, to string) Fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rule(from, to)
}

// send sends a packet. The caller holds the network's lock.
func (n *Network) send(from, to string, payload []byte) {
	n.Packets++
	n.Bytes += int64(len(payload))
	fault := n.rule(from, to)
	for range n.drawCopies(fault) {
		packet := &memberlist.Packet{Buf: append([]byte(nil), payload...), From: udpAddr(from)}
		time.AfterFunc(n.drawDelay(fault), func() { n.receive(to, packet) })
	}
}

// drawCopies draws how often a packet arrives.
func (n *Network) drawCopies(fault Fault) int {
	if fault.Partition || n.rand.Float64() < fault.LossRatio {
		return 0
	}
	if n.rand.Float64() < fault.DuplicateRatio {
		return 2
	}
	return 1
}

// drawDelay draws for how long one copy of a packet is under way.
func (n *Network) drawDelay(fault Fault) time.Duration {
	delay := fault.Delay
	if fault.Jitter > 0 {
		delay += time.Duration(n.rand.Int64N(int64(fault.Jitter)))
	}
	return delay
}

// receive queues a packet at its host, and drops it if that is down or its queue is full.
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
		panic(err) // hosts have IP addresses and port numbers, so nothing is looked up
	}
	return resolved
}

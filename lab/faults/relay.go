// Package faults defines faults of processes and of the links between them, and injects the link faults. Other
// processes reach a process at an advertised address. A relay receives the traffic there and forwards it to the real
// address as the rules in force allow. All addresses are in 127.0.0.0/8. The relay changes no system settings and
// needs no privilege.
//
// The relay identifies the sender of a packet by its source address. Each process must therefore send from the
// address that it listens on.
//
// A TCP connection through a partition is never established, as on a real network: a socket filter (Linux) on the
// relay's listening socket drops the SYN packets of partitioned senders. Unlike on a real network, a connection to a
// process that was killed is not refused: the relay accepts it and then resets it.
package faults

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// udpReadBuffer is the requested receive buffer in bytes. The kernel may limit it to less.
	udpReadBuffer = 1 << 20
	// randStream selects a random sequence that differs from those of other packages with the same seed.
	randStream = 3
)

// Relay forwards traffic between processes by rules. Its methods are safe for concurrent use.
type Relay struct {
	closed  atomic.Bool
	readers sync.WaitGroup // goroutines that read the sockets of the endpoints
	pending atomic.Int64   // number of delayed datagrams

	// mu guards the fields below.
	mu         sync.Mutex
	rand       *rand.Rand
	rule       func(from, to string) Rule
	nameByAddr map[netip.Addr]string // of the processes, by real address
	endpoints  []*endpoint
	conns      map[net.Conn]struct{} // both connections of each open stream
}

// NewRelay returns a relay without endpoints or rules. It draws losses and delays from seed. The caller must call
// Close.
func NewRelay(seed uint64) *Relay {
	return &Relay{
		rand:       rand.New(rand.NewPCG(seed, randStream)),
		rule:       func(string, string) Rule { return Rule{} },
		nameByAddr: map[netip.Addr]string{},
		conns:      map[net.Conn]struct{}{},
	}
}

// Add relays TCP and UDP traffic from the advertised address to target, the real address of the named process. The
// sockets stay open until Close, even if ctx ends earlier.
func (r *Relay) Add(ctx context.Context, name, advertised, target string) error {
	targetUDP, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return fmt.Errorf("resolve real address of %s: %w", name, err)
	}
	added := &endpoint{relay: r, name: name, target: target, targetUDP: targetUDP}
	if err := added.listen(ctx, advertised); err != nil {
		return err
	}
	r.mu.Lock()
	r.nameByAddr[targetUDP.AddrPort().Addr().Unmap()] = name
	r.endpoints = append(r.endpoints, added)
	r.mu.Unlock()
	r.readers.Go(added.relayDatagrams)
	r.readers.Go(added.acceptStreams)
	return nil
}

// SetRules replaces the rules in force. The new ones also apply to open streams. The relay calls rule with the names
// of two processes while it holds its lock; the name of an unknown process is "".
func (r *Relay) SetRules(rule func(from, to string) Rule) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rule = rule
	var all error
	for _, e := range r.endpoints {
		all = errors.Join(all, e.dropFrom(r.partitionedFrom(e.name)))
	}
	return all
}

// partitionedFrom returns the real IPv4 addresses of the processes that are partitioned from the named one in either
// direction. The caller must hold r.mu.
func (r *Relay) partitionedFrom(name string) (blocked []uint32) {
	for ip, other := range r.nameByAddr {
		if r.rule(other, name).Partition || r.rule(name, other).Partition {
			octets := ip.As4()
			blocked = append(blocked, binary.BigEndian.Uint32(octets[:]))
		}
	}
	return blocked
}

// Close closes all sockets and waits until no more traffic is read from them. Streams that wait for a delay end
// later.
func (r *Relay) Close() {
	r.closed.Store(true)
	r.mu.Lock()
	for _, e := range r.endpoints {
		closeQuietly(e.udp)
		closeQuietly(e.tcp)
	}
	for conn := range r.conns {
		closeQuietly(conn)
	}
	r.mu.Unlock()
	r.readers.Wait()
}

// track registers a connection that Close must close. It closes the connection at once if the relay is already
// closed.
func (r *Relay) track(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[conn] = struct{}{}
	if r.closed.Load() {
		closeQuietly(conn)
	}
}

func (r *Relay) untrack(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

// senderOf returns the name of the process with the source address, or "" if it is unknown.
func (r *Relay) senderOf(source netip.Addr) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nameByAddr[source.Unmap()]
}

func (r *Relay) ruleFor(from, to string) Rule {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rule(from, to)
}

// drawDelays draws the delay of each copy of a datagram that arrives. It returns nil if the datagram is lost.
func (r *Relay) drawDelays(rule Rule) (delays []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rule.Partition || r.rand.Float64() < rule.LossRatio {
		return nil
	}
	delays = append(delays, r.drawDelay(rule))
	if r.rand.Float64() < rule.DuplicateRatio {
		delays = append(delays, r.drawDelay(rule))
	}
	return delays
}

// drawDelay draws the delay of one copy of a datagram. The caller must hold r.mu.
func (r *Relay) drawDelay(rule Rule) time.Duration {
	delay := rule.Delay
	if rule.Jitter > 0 {
		delay += time.Duration(r.rand.Int64N(int64(rule.Jitter)))
	}
	return delay
}

// closeQuietly closes a socket that is no longer used and ignores the error.
func closeQuietly(c io.Closer) { _ = c.Close() }

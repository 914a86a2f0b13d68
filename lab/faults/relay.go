// Package faults injects faults between processes and into them. Other processes reach a process at an advertised
// address, where a relay takes its traffic and passes it on to the real address, as far as the rules in force allow.
// All addresses are in 127.0.0.0/8; nothing of the system is changed, and no privilege is needed.
//
// The relay tells the sender by its source address, so a process has to send from the address that it listens on. A
// TCP connection through a partition is not established, as with a real one: the relay's listening socket drops the
// SYN packets of partitioned senders (a socket filter, Linux). Unlike a real machine, whose kernel refuses
// connections to a process that was killed, the relay accepts them and resets them at once.
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
	// udpReadBuffer is asked of the system, which may give less.
	udpReadBuffer = 1 << 20
	// randStream keeps the random sequence apart from those of other parts with the same seed.
	randStream = 3
)

// Relay passes traffic between processes by rules. Its methods may be called from any goroutine.
type Relay struct {
	closed  atomic.Bool
	loops   sync.WaitGroup // of the endpoints' sockets
	pending atomic.Int64   // delayed datagrams

	mu        sync.Mutex
	rand      *rand.Rand
	rule      func(from, to string) Rule
	names     map[netip.Addr]string // of processes, by real address
	endpoints []*endpoint
	conns     map[net.Conn]struct{} // of open streams
}

// NewRelay returns a relay without processes and faults, which draws losses and delays from seed. The caller closes
// it.
func NewRelay(seed uint64) *Relay {
	return &Relay{
		rand:  rand.New(rand.NewPCG(seed, randStream)),
		rule:  func(string, string) Rule { return Rule{} },
		names: map[netip.Addr]string{},
		conns: map[net.Conn]struct{}{},
	}
}

// Add relays TCP and UDP from the advertised address to the process called name at its real address, target. The sockets
// are open until Close, whatever becomes of ctx.
func (r *Relay) Add(ctx context.Context, name, advertised, target string) error {
	targetUDP, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return fmt.Errorf("address of %s: %w", name, err)
	}
	added := &endpoint{relay: r, name: name, target: target, targetUDP: targetUDP}
	if err := added.listen(ctx, advertised); err != nil {
		return err
	}
	r.mu.Lock()
	r.names[targetUDP.AddrPort().Addr().Unmap()] = name
	r.endpoints = append(r.endpoints, added)
	r.mu.Unlock()
	r.loops.Go(added.relayDatagrams)
	r.loops.Go(added.acceptStreams)
	return nil
}

// SetRules replaces the rules in force, also for open streams. Rule is called with the names of two processes, "" for
// an unknown one, while the relay is locked.
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

// partitionedFrom returns the real addresses of the processes between which and the one called name there is a
// partition in either direction. The caller holds the lock.
func (r *Relay) partitionedFrom(name string) (blocked []uint32) {
	for ip, other := range r.names {
		if r.rule(other, name).Partition || r.rule(name, other).Partition {
			octets := ip.As4()
			blocked = append(blocked, binary.BigEndian.Uint32(octets[:]))
		}
	}
	return blocked
}

// Close closes all sockets and ends what the relay carries. Streams in a delay end after it.
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
	r.loops.Wait()
}

// track has Close close a connection, until untrack; a relay that is closed already does so at once.
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

// senderOf returns the name of the process with a source address; "" if there is none.
func (r *Relay) senderOf(source netip.Addr) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.names[source.Unmap()]
}

func (r *Relay) ruleFor(from, to string) Rule {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rule(from, to)
}

// drawDelays draws how often a datagram arrives, and after which delays.
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

// drawDelay draws the delay of one datagram. The caller holds the lock.
func (r *Relay) drawDelay(rule Rule) time.Duration {
	delay := rule.Delay
	if rule.Jitter > 0 {
		delay += time.Duration(r.rand.Int64N(int64(rule.Jitter)))
	}
	return delay
}

// closeQuietly closes a socket that is not used any more, so that an error is of no interest.
func closeQuietly(c io.Closer) { _ = c.Close() }

// Package faults breaks what lies between processes, from outside: each process is reached by others at an advertised
// address, where a relay takes what comes and passes it to the real one, as far as the rules in force let it. All
// addresses are on 127.0.0.0/8; nothing of the system is changed and no privilege is needed.
//
// Who sends is told by the source address, so that a process has to send from the address that it listens at. A call
// over TCP that is cut does not connect, as in a real cut: the relay's own listening socket drops the first packet of
// callers that are cut off (a socket filter, Linux). What it leaves out: a process that was killed takes calls at its
// relay, which resets them at once, where a real machine refuses them.
package faults

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// Rule is what befalls what one process sends to another.
type Rule struct {
	Partition                 bool
	LossRatio, DuplicateRatio float64       // share of the datagrams that are lost, and that come twice
	Delay, Jitter             time.Duration // of datagrams, and Delay of what streams carry; jitter has datagrams overtake
	BytesPerSecond            int           // bytes a second that streams carry each; 0 = no bound
	Reset                     bool          // streams are reset, and calls too
}

const (
	maxPending  = 1 << 14 // datagrams of a relay that are on their way; further ones are lost
	streamPace  = 20 * time.Millisecond
	dialTimeout = 5 * time.Second
)

// Relay stands between processes. Its methods may be called from any goroutine.
type Relay struct {
	mu        sync.Mutex
	rand      *rand.Rand
	rule      func(from, to string) Rule
	names     map[netip.Addr]string // by the real addresses
	endpoints []*endpoint
	pending   atomic.Int64
	ctx       context.Context
	cancel    context.CancelFunc

	Datagrams, Bytes, Lost atomic.Int64 // that came, and those that were dropped
}

type endpoint struct {
	relay     *Relay
	name      string
	target    string
	targetUDP *net.UDPAddr
	udp       *net.UDPConn
	tcp       *net.TCPListener
}

// NewRelay returns a relay that draws from seed. Nothing goes wrong before Set.
func NewRelay(seed uint64) *Relay {
	ctx, stop := context.WithCancel(context.Background())
	return &Relay{rand: rand.New(rand.NewPCG(seed, 3)), rule: func(string, string) Rule { return Rule{} },
		names: map[netip.Addr]string{}, ctx: ctx, cancel: stop}
}

// Add relays what comes to advertised, TCP and UDP, to the process called name at real.
func (r *Relay) Add(name, advertised, target string) error {
	targetUDP, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return err
	}
	advertisedUDP, err := net.ResolveUDPAddr("udp", advertised)
	if err != nil {
		return err
	}
	udp, err := net.ListenUDP("udp", advertisedUDP)
	if err != nil {
		return err
	}
	_ = udp.SetReadBuffer(1 << 20) // as far as the system allows
	var lc net.ListenConfig
	lc.SetMultipathTCP(false) // whose sockets take no filter
	ln, err := lc.Listen(r.ctx, "tcp", advertised)
	if err != nil {
		udp.Close()
		return err
	}
	added := &endpoint{relay: r, name: name, target: target, targetUDP: targetUDP, udp: udp, tcp: ln.(*net.TCPListener)}
	r.mu.Lock()
	r.names[targetUDP.AddrPort().Addr().Unmap()] = name
	r.endpoints = append(r.endpoints, added)
	r.mu.Unlock()
	go added.relayDatagrams()
	go added.acceptStreams()
	return nil
}

// SetRules puts other rules in force, at once.
func (r *Relay) SetRules(rule func(from, to string) Rule) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rule = rule
	var all error
	for _, target := range r.endpoints {
		var blocked []uint32
		for ip, from := range r.names {
			if rule(from, target.name).Partition || rule(target.name, from).Partition {
				octets := ip.As4()
				blocked = append(blocked, binary.BigEndian.Uint32(octets[:]))
			}
		}
		all = errors.Join(all, target.dropFrom(blocked))
	}
	return all
}

// Close ends the relay and what it carries.
func (r *Relay) Close() {
	r.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints {
		e.udp.Close()
		e.tcp.Close()
	}
}

func (r *Relay) senderOf(a netip.Addr) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.names[a.Unmap()]
}

func (r *Relay) ruleFor(from, to string) Rule {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rule(from, to)
}

// drawDelays draws what becomes of a datagram: how often it comes, and when.
func (r *Relay) drawDelays(rule Rule) (delays []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rule.Partition || r.rand.Float64() < rule.LossRatio {
		return nil
	}
	for n := 0; n == 0 || n == 1 && r.rand.Float64() < rule.DuplicateRatio; n++ {
		delay := rule.Delay
		if rule.Jitter > 0 {
			delay += time.Duration(r.rand.Int64N(int64(rule.Jitter)))
		}
		delays = append(delays, delay)
	}
	return delays
}

func (e *endpoint) relayDatagrams() {
	relay := e.relay
	b := make([]byte, 64<<10)
	for {
		n, source, err := e.udp.ReadFromUDPAddrPort(b)
		if err != nil {
			if relay.ctx.Err() != nil {
				return
			}
			continue // that of an earlier datagram to a process which is not there
		}
		relay.Datagrams.Add(1)
		relay.Bytes.Add(int64(n))
		delays := relay.drawDelays(relay.ruleFor(relay.senderOf(source.Addr()), e.name))
		if len(delays) == 0 {
			relay.Lost.Add(1)
		}
		for _, delay := range delays {
			if delay <= 0 {
				_, _ = e.udp.WriteToUDP(b[:n], e.targetUDP)
				continue
			}
			if relay.pending.Add(1) > maxPending {
				relay.pending.Add(-1)
				relay.Lost.Add(1)
				continue
			}
			late := append([]byte(nil), b[:n]...)
			time.AfterFunc(delay, func() {
				relay.pending.Add(-1)
				_, _ = e.udp.WriteToUDP(late, e.targetUDP)
			})
		}
	}
}

func (e *endpoint) acceptStreams() {
	for {
		c, err := e.tcp.AcceptTCP()
		if err != nil {
			return
		}
		go e.relayStream(c)
	}
}

// relayStream carries one stream both ways until either end has closed it, or a rule resets it.
func (e *endpoint) relayStream(inbound *net.TCPConn) {
	defer inbound.Close()
	source, _ := netip.ParseAddrPort(inbound.RemoteAddr().String())
	from := e.relay.senderOf(source.Addr())
	reset := func() { _ = inbound.SetLinger(0) }
	outbound, err := net.DialTimeout("tcp", e.target, dialTimeout)
	if err != nil || e.relay.ruleFor(from, e.name).Reset {
		reset()
		if err == nil {
			outbound.Close()
		}
		return
	}
	defer outbound.Close()
	defer context.AfterFunc(e.relay.ctx, func() { inbound.Close(); outbound.Close() })()
	done := make(chan struct{}, 2)
	go func() { e.copyStream(outbound.(*net.TCPConn), inbound, from, e.name, reset); done <- struct{}{} }()
	go func() { e.copyStream(inbound, outbound.(*net.TCPConn), e.name, from, reset); done <- struct{}{} }()
	<-done
	<-done
}

// copyStream copies one way. While that is cut it holds what has come.
func (e *endpoint) copyStream(to, from *net.TCPConn, fromName, toName string, reset func()) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		for first := true; n > 0; first = false {
			rule := e.relay.ruleFor(fromName, toName)
			if rule.Reset {
				reset()
				to.Close()
				from.Close()
				return
			}
			part := n
			if first && rule.Delay > 0 {
				time.Sleep(rule.Delay)
			}
			if rule.Partition || rule.BytesPerSecond > 0 {
				time.Sleep(streamPace)
				part = min(n, int(float64(rule.BytesPerSecond)*streamPace.Seconds())+1)
			}
			if e.relay.ctx.Err() != nil {
				return
			}
			if rule.Partition {
				continue
			}
			if _, err := to.Write(b[:part]); err != nil {
				from.Close()
				return
			}
			copy(b, b[part:n])
			n -= part
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			if errors.Is(err, syscall.ECONNRESET) {
				_ = to.SetLinger(0)
			}
			to.Close()
			return
		}
	}
}

// dropFrom has the listening socket drop what comes from these addresses (in network order).
func (e *endpoint) dropFrom(blocked []uint32) error {
	const source = 0xfff00000 + 12 // of the network header (SKF_NET_OFF): the sender's address
	prog := []bpf.Instruction{bpf.LoadAbsolute{Off: source, Size: 4}}
	for _, ip := range blocked {
		prog = append(prog, bpf.JumpIf{Cond: bpf.JumpNotEqual, Val: ip, SkipTrue: 1}, bpf.RetConstant{Val: 0})
	}
	raw, err := bpf.Assemble(append(prog, bpf.RetConstant{Val: 0xffffffff}))
	if err != nil {
		return err
	}
	code := make([]unix.SockFilter, len(raw))
	for i, op := range raw {
		code[i] = unix.SockFilter{Code: op.Op, Jt: op.Jt, Jf: op.Jf, K: op.K}
	}
	conn, err := e.tcp.SyscallConn()
	if err != nil {
		return err
	}
	err2 := conn.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(code)), Filter: (*unix.SockFilter)(unsafe.Pointer(&code[0]))})
	})
	return errors.Join(err, err2)
}

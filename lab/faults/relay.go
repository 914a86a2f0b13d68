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
	pendingMost = 1 << 14 // datagrams of a relay that are on their way; further ones are lost
	pace        = 20 * time.Millisecond
	dialLimit   = 5 * time.Second
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
	stop      context.CancelFunc

	Datagrams, Bytes, Lost atomic.Int64 // that came, and those that were dropped
}

type endpoint struct {
	relay *Relay
	name  string
	real  string
	to    *net.UDPAddr
	udp   *net.UDPConn
	tcp   *net.TCPListener
}

// NewRelay returns a relay that draws from seed. Nothing goes wrong before Set.
func NewRelay(seed uint64) *Relay {
	ctx, stop := context.WithCancel(context.Background())
	return &Relay{rand: rand.New(rand.NewPCG(seed, 3)), rule: func(string, string) Rule { return Rule{} },
		names: map[netip.Addr]string{}, ctx: ctx, stop: stop}
}

// Add relays what comes to advertised, TCP and UDP, to the process called name at real.
func (r *Relay) Add(name, advertised, real string) error {
	to, err := net.ResolveUDPAddr("udp", real)
	if err != nil {
		return err
	}
	at, err := net.ResolveUDPAddr("udp", advertised)
	if err != nil {
		return err
	}
	udp, err := net.ListenUDP("udp", at)
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
	e := &endpoint{relay: r, name: name, real: real, to: to, udp: udp, tcp: ln.(*net.TCPListener)}
	r.mu.Lock()
	r.names[to.AddrPort().Addr().Unmap()] = name
	r.endpoints = append(r.endpoints, e)
	r.mu.Unlock()
	go e.packets()
	go e.calls()
	return nil
}

// SetRules puts other rules in force, at once.
func (r *Relay) SetRules(rule func(from, to string) Rule) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rule = rule
	var all error
	for _, e := range r.endpoints {
		var cut []uint32
		for ip, from := range r.names {
			if rule(from, e.name).Partition || rule(e.name, from).Partition {
				b := ip.As4()
				cut = append(cut, binary.BigEndian.Uint32(b[:]))
			}
		}
		all = errors.Join(all, e.filter(cut))
	}
	return all
}

// Close ends the relay and what it carries.
func (r *Relay) Close() {
	r.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints {
		e.udp.Close()
		e.tcp.Close()
	}
}

func (r *Relay) from(a netip.Addr) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.names[a.Unmap()]
}

func (r *Relay) between(from, to string) Rule {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rule(from, to)
}

// draw draws what becomes of a datagram: how often it comes, and when.
func (r *Relay) draw(f Rule) (delays []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.Partition || r.rand.Float64() < f.LossRatio {
		return nil
	}
	for n := 0; n == 0 || n == 1 && r.rand.Float64() < f.DuplicateRatio; n++ {
		d := f.Delay
		if f.Jitter > 0 {
			d += time.Duration(r.rand.Int64N(int64(f.Jitter)))
		}
		delays = append(delays, d)
	}
	return delays
}

func (e *endpoint) packets() {
	r := e.relay
	b := make([]byte, 64<<10)
	for {
		n, src, err := e.udp.ReadFromUDPAddrPort(b)
		if err != nil {
			if r.ctx.Err() != nil {
				return
			}
			continue // that of an earlier datagram to a process which is not there
		}
		r.Datagrams.Add(1)
		r.Bytes.Add(int64(n))
		delays := r.draw(r.between(r.from(src.Addr()), e.name))
		if len(delays) == 0 {
			r.Lost.Add(1)
		}
		for _, d := range delays {
			if d <= 0 {
				_, _ = e.udp.WriteToUDP(b[:n], e.to)
				continue
			}
			if r.pending.Add(1) > pendingMost {
				r.pending.Add(-1)
				r.Lost.Add(1)
				continue
			}
			late := append([]byte(nil), b[:n]...)
			time.AfterFunc(d, func() {
				r.pending.Add(-1)
				_, _ = e.udp.WriteToUDP(late, e.to)
			})
		}
	}
}

func (e *endpoint) calls() {
	for {
		c, err := e.tcp.AcceptTCP()
		if err != nil {
			return
		}
		go e.carry(c)
	}
}

// carry carries one stream both ways until either end has closed it, or a rule resets it.
func (e *endpoint) carry(c *net.TCPConn) {
	defer c.Close()
	src, _ := netip.ParseAddrPort(c.RemoteAddr().String())
	from := e.relay.from(src.Addr())
	reset := func() { _ = c.SetLinger(0) }
	out, err := net.DialTimeout("tcp", e.real, dialLimit)
	if err != nil || e.relay.between(from, e.name).Reset {
		reset()
		if err == nil {
			out.Close()
		}
		return
	}
	defer out.Close()
	defer context.AfterFunc(e.relay.ctx, func() { c.Close(); out.Close() })()
	over := make(chan struct{}, 2)
	go func() { e.pump(out.(*net.TCPConn), c, from, e.name, reset); over <- struct{}{} }()
	go func() { e.pump(c, out.(*net.TCPConn), e.name, from, reset); over <- struct{}{} }()
	<-over
	<-over
}

// pump copies one way. While that is cut it holds what has come.
func (e *endpoint) pump(to, from *net.TCPConn, fromName, toName string, reset func()) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		for first := true; n > 0; first = false {
			f := e.relay.between(fromName, toName)
			if f.Reset {
				reset()
				to.Close()
				from.Close()
				return
			}
			part := n
			if first && f.Delay > 0 {
				time.Sleep(f.Delay)
			}
			if f.Partition || f.BytesPerSecond > 0 {
				time.Sleep(pace)
				part = min(n, int(float64(f.BytesPerSecond)*pace.Seconds())+1)
			}
			if e.relay.ctx.Err() != nil {
				return
			}
			if f.Partition {
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

// filter has the listening socket drop what comes from these addresses (in network order).
func (e *endpoint) filter(cut []uint32) error {
	const source = 0xfff00000 + 12 // of the network header (SKF_NET_OFF): the sender's address
	prog := []bpf.Instruction{bpf.LoadAbsolute{Off: source, Size: 4}}
	for _, ip := range cut {
		prog = append(prog, bpf.JumpIf{Cond: bpf.JumpNotEqual, Val: ip, SkipTrue: 1}, bpf.RetConstant{Val: 0})
	}
	raw, err := bpf.Assemble(append(prog, bpf.RetConstant{Val: 0xffffffff}))
	if err != nil {
		return err
	}
	code := make([]unix.SockFilter, len(raw))
	for i, r := range raw {
		code[i] = unix.SockFilter{Code: r.Op, Jt: r.Jt, Jf: r.Jf, K: r.K}
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

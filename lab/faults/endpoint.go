package faults

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
	"unsafe"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

const (
	maxDatagramBytes = 64 << 10
	// maxPending is the maximum number of delayed datagrams of a relay. Datagrams beyond it are lost.
	maxPending = 1 << 14
	// dialTimeout bounds the dial to the real address of a process.
	dialTimeout = 5 * time.Second
)

// errNotTCP reports a stream socket that is not a plain TCP socket, which the relay cannot reset or filter.
var errNotTCP = errors.New("not a TCP socket")

// endpoint is the advertised address of one process, at which the relay receives the traffic to it.
type endpoint struct {
	relay     *Relay
	name      string // of the process
	target    string // real address of the process
	targetUDP *net.UDPAddr
	udp       *net.UDPConn
	tcp       *net.TCPListener
}

// listen opens the UDP and TCP sockets on the advertised address.
func (e *endpoint) listen(ctx context.Context, advertised string) error {
	advertisedUDP, err := net.ResolveUDPAddr("udp", advertised)
	if err != nil {
		return fmt.Errorf("resolve advertised address of %s: %w", e.name, err)
	}
	if e.udp, err = net.ListenUDP("udp", advertisedUDP); err != nil {
		return fmt.Errorf("listen for datagrams to %s: %w", e.name, err)
	}
	_ = e.udp.SetReadBuffer(udpReadBuffer) // on an error the buffer is smaller and more datagrams are lost
	var config net.ListenConfig
	config.SetMultipathTCP(false) // a socket filter cannot be attached to a multipath TCP socket
	listener, err := config.Listen(ctx, "tcp", advertised)
	if err != nil {
		closeQuietly(e.udp)
		return fmt.Errorf("listen for streams to %s: %w", e.name, err)
	}
	var isTCP bool
	if e.tcp, isTCP = listener.(*net.TCPListener); !isTCP {
		closeQuietly(e.udp)
		closeQuietly(listener)
		return errNotTCP
	}
	return nil
}

// relayDatagrams relays datagrams to the process until the relay is closed.
func (e *endpoint) relayDatagrams() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, source, err := e.udp.ReadFromUDPAddrPort(buffer)
		if e.relay.closed.Load() {
			return
		}
		if err != nil {
			continue // ICMP error for an earlier datagram: the process is not running
		}
		rule := e.relay.ruleFor(e.relay.senderOf(source.Addr()), e.name)
		for _, delay := range e.relay.drawDelays(rule) {
			e.forward(buffer[:n], delay)
		}
	}
}

// forward sends a datagram to the process after a delay. Write errors are ignored: they lose the datagram.
func (e *endpoint) forward(datagram []byte, delay time.Duration) {
	if delay <= 0 {
		_, _ = e.udp.WriteToUDP(datagram, e.targetUDP)
		return
	}
	if e.relay.pending.Add(1) > maxPending {
		e.relay.pending.Add(-1)
		return
	}
	delayed := append([]byte(nil), datagram...)
	time.AfterFunc(delay, func() {
		e.relay.pending.Add(-1)
		_, _ = e.udp.WriteToUDP(delayed, e.targetUDP)
	})
}

// acceptStreams accepts streams until the relay is closed, and relays each in its own goroutine.
func (e *endpoint) acceptStreams() {
	for {
		inbound, err := e.tcp.AcceptTCP()
		if err != nil {
			return
		}
		go e.relayStream(inbound)
	}
}

// relayStream relays a stream in both directions until both have ended, a rule resets the stream, or the relay is
// closed.
func (e *endpoint) relayStream(inbound *net.TCPConn) {
	defer closeQuietly(inbound)
	from := ""
	if source, err := netip.ParseAddrPort(inbound.RemoteAddr().String()); err == nil {
		from = e.relay.senderOf(source.Addr())
	}
	reset := func() { _ = inbound.SetLinger(0) } // Close then sends a RST
	outbound, err := e.dial()
	if err != nil {
		reset()
		return
	}
	defer closeQuietly(outbound)
	if e.relay.ruleFor(from, e.name).Reset {
		reset()
		return
	}
	e.relay.track(inbound)
	defer e.relay.untrack(inbound)
	e.relay.track(outbound)
	defer e.relay.untrack(outbound)
	request := streamCopy{relay: e.relay, from: inbound, to: outbound, sender: from, receiver: e.name, reset: reset}
	response := streamCopy{relay: e.relay, from: outbound, to: inbound, sender: e.name, receiver: from, reset: reset}
	var directions sync.WaitGroup
	directions.Go(request.run)
	directions.Go(response.run)
	directions.Wait()
}

func (e *endpoint) dial() (*net.TCPConn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).Dial("tcp", e.target)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", e.name, err)
	}
	stream, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		closeQuietly(conn)
		return nil, errNotTCP
	}
	return stream, nil
}

// dropFrom attaches a socket filter to the listening socket that drops packets from the blocked IPv4 addresses.
func (e *endpoint) dropFrom(blocked []uint32) error {
	instructions, err := bpf.Assemble(dropFilter(blocked))
	if err != nil {
		return fmt.Errorf("assemble socket filter: %w", err)
	}
	code := make([]unix.SockFilter, len(instructions))
	for i, op := range instructions {
		code[i] = unix.SockFilter{Code: op.Op, Jt: op.Jt, Jf: op.Jf, K: op.K}
	}
	conn, err := e.tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("access listening socket of %s: %w", e.name, err)
	}
	var optionErr error
	controlErr := conn.Control(func(fd uintptr) {
		first := (*unix.SockFilter)(unsafe.Pointer(&code[0])) //nolint:gosec // the system call takes a pointer to the first instruction
		program := &unix.SockFprog{Len: uint16(len(code)), Filter: first}
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	if err := errors.Join(controlErr, optionErr); err != nil {
		return fmt.Errorf("attach socket filter for streams to %s: %w", e.name, err)
	}
	return nil
}

// dropFilter returns a socket filter that drops packets from the blocked IPv4 addresses and accepts all others.
func dropFilter(blocked []uint32) []bpf.Instruction {
	const (
		networkHeader = 0xfff00000 // SKF_NET_OFF: offsets are relative to the IP header
		sourceAddress = 12         // offset of the source address in the IPv4 header
		wholePacket   = 0xffffffff // accepts the packet without truncation
	)
	filter := []bpf.Instruction{bpf.LoadAbsolute{Off: networkHeader + sourceAddress, Size: 4}}
	for _, ip := range blocked {
		filter = append(filter, bpf.JumpIf{Cond: bpf.JumpNotEqual, Val: ip, SkipTrue: 1}, bpf.RetConstant{Val: 0})
	}
	return append(filter, bpf.RetConstant{Val: wholePacket})
}

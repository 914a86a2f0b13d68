package gossip

import (
	"errors"
	"io"
	"log"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"falldeal/internal/fleet"

	"github.com/hashicorp/memberlist"
)

// boundTransport is memberlist's transport, but that calls go out from the address that the process listens at: whoever
// stands between two members can then tell who calls.
type boundTransport struct {
	*memberlist.NetTransport
	localIP net.IP
}

func listen(addr string, logger *log.Logger) (*boundTransport, error) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	portNumber, err := strconv.Atoi(port)
	if err != nil {
		return nil, err
	}
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: portNumber, Logger: logger})
	if err != nil {
		return nil, err
	}
	return &boundTransport{transport, net.ParseIP(host)}, nil
}

func (s *boundTransport) DialAddressTimeout(target memberlist.Address, limit time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: limit}
	if !s.localIP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: s.localIP}
	}
	return d.Dial("tcp", target.Addr)
}

func (s *boundTransport) DialTimeout(addr string, limit time.Duration) (net.Conn, error) {
	return s.DialAddressTimeout(memberlist.Address{Addr: addr}, limit)
}

// countingTransport counts what goes out, and notes what calls found.
type countingTransport struct {
	memberlist.NodeAwareTransport
	counters *Counters

	mu         sync.Mutex
	answered   map[string]bool // addresses that calls are made to, and whether something came back
	lastErrors map[string]error
}

func (w *countingTransport) WriteToAddress(b []byte, target memberlist.Address) (time.Time, error) {
	w.counters.PacketsOut.Add(1)
	w.counters.BytesOut.Add(int64(len(b)))
	return w.NodeAwareTransport.WriteToAddress(b, target)
}

func (w *countingTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	return w.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (w *countingTransport) DialAddressTimeout(target memberlist.Address, limit time.Duration) (net.Conn, error) {
	conn, err := w.NodeAwareTransport.DialAddressTimeout(target, limit)
	if err != nil {
		w.recordError(target.Addr, err)
		return nil, err
	}
	w.counters.Streams.Add(1)
	return &countingConn{Conn: conn, transport: w, addr: target.Addr}, nil
}

func (w *countingTransport) DialTimeout(addr string, limit time.Duration) (net.Conn, error) {
	return w.DialAddressTimeout(memberlist.Address{Addr: addr}, limit)
}

// recordError keeps the last error of an address that is being called.
func (w *countingTransport) recordError(addr string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.answered[addr]; ok {
		w.lastErrors[addr] = err
	}
}

// beginDial begins a call to addr.
func (w *countingTransport) beginDial(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered, w.lastErrors = map[string]bool{addr: false}, map[string]error{}
}

// dialEvidence is what the failed call to addr showed.
func (w *countingTransport) dialEvidence(addr string) fleet.Evidence {
	w.mu.Lock()
	defer w.mu.Unlock()
	err := w.lastErrors[addr]
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED),
		!w.answered[addr] && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)):
		return fleet.ConnectionRefused
	case errors.Is(err, errNoAnswer):
		return fleet.ConnectionAccepted
	case errors.As(err, &timeout) && timeout.Timeout():
		return fleet.Unanswered
	}
	return fleet.NoEvidence
}

var errNoAnswer = errors.New("connected, and nothing came back in time")

// countingConn counts what is written, and notes how reading ended.
type countingConn struct {
	net.Conn
	transport *countingTransport
	addr      string
}

func (s *countingConn) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.transport.counters.StreamBytes.Add(int64(n))
	if err != nil {
		s.transport.recordError(s.addr, err)
	}
	return n, err
}

func (s *countingConn) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	if n > 0 {
		s.transport.mu.Lock()
		if _, ok := s.transport.answered[s.addr]; ok {
			s.transport.answered[s.addr] = true
		}
		s.transport.mu.Unlock()
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		s.transport.recordError(s.addr, errNoAnswer)
	} else if err != nil {
		s.transport.recordError(s.addr, err)
	}
	return n, err
}

// logWriter takes what memberlist logs. Packets of strangers are many, and only counted.
type logWriter struct{ fleet *Fleet }

func (l logWriter) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	text = strings.Replace(text, "memberlist: ", "", 1)
	level, rest, ok := strings.Cut(strings.TrimPrefix(text, "["), "] ")
	if !ok {
		level, rest = "WARN", text
	}
	counters := &l.fleet.Counters
	switch {
	case strings.Contains(rest, "ecrypt"), strings.Contains(rest, "label"):
		counters.ForeignPackets.Add(1)
		l.fleet.warn.Warn("fleet stranger", rest, nil)
		return len(b), nil
	case strings.HasPrefix(rest, "Suspect "):
		counters.Suspicions.Add(1)
	case strings.HasPrefix(rest, "Refuting"):
		counters.Objections.Add(1)
	}
	switch level {
	case "ERR":
		if strings.Contains(rest, "ecode") || strings.Contains(rest, "type") || strings.Contains(rest, "too short") {
			counters.Malformed.Add(1)
		}
		l.fleet.warn.Warn("fleet "+logLineKey(rest), rest, nil)
	case "WARN":
		l.fleet.warn.Warn("fleet "+logLineKey(rest), rest, nil)
	default:
		l.fleet.log.Debug("fleet: " + rest)
	}
	return len(b), nil
}

// logLineKey is the beginning of a line, by which lines of one kind are limited together.
func logLineKey(text string) string { return text[:min(len(text), 20)] }

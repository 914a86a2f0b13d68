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

// sockets is memberlist's transport, but that calls go out from the address that the process listens at: whoever
// stands between two members can then tell who calls.
type sockets struct {
	*memberlist.NetTransport
	from net.IP
}

func listen(addr string, logger *log.Logger) (*sockets, error) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return nil, err
	}
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: n, Logger: logger})
	if err != nil {
		return nil, err
	}
	return &sockets{t, net.ParseIP(host)}, nil
}

func (s *sockets) DialAddressTimeout(a memberlist.Address, limit time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: limit}
	if !s.from.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: s.from}
	}
	return d.Dial("tcp", a.Addr)
}

func (s *sockets) DialTimeout(addr string, limit time.Duration) (net.Conn, error) {
	return s.DialAddressTimeout(memberlist.Address{Addr: addr}, limit)
}

// wire counts what goes out, and notes what calls found.
type wire struct {
	memberlist.NodeAwareTransport
	count *Counters

	mu   sync.Mutex
	seen map[string]bool // addresses that calls are made to, and whether something came back
	errs map[string]error
}

func (w *wire) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	w.count.PacketsOut.Add(1)
	w.count.BytesOut.Add(int64(len(b)))
	return w.NodeAwareTransport.WriteToAddress(b, a)
}

func (w *wire) WriteTo(b []byte, addr string) (time.Time, error) {
	return w.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (w *wire) DialAddressTimeout(a memberlist.Address, limit time.Duration) (net.Conn, error) {
	c, err := w.NodeAwareTransport.DialAddressTimeout(a, limit)
	if err != nil {
		w.note(a.Addr, err)
		return nil, err
	}
	w.count.Streams.Add(1)
	return &stream{Conn: c, wire: w, addr: a.Addr}, nil
}

func (w *wire) DialTimeout(addr string, limit time.Duration) (net.Conn, error) {
	return w.DialAddressTimeout(memberlist.Address{Addr: addr}, limit)
}

// note keeps the last error of an address that is being called.
func (w *wire) note(addr string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.seen[addr]; ok {
		w.errs[addr] = err
	}
}

// forget begins a call to addr.
func (w *wire) forget(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen, w.errs = map[string]bool{addr: false}, map[string]error{}
}

// evidence is what the failed call to addr showed.
func (w *wire) evidence(addr string) fleet.Evidence {
	w.mu.Lock()
	defer w.mu.Unlock()
	err := w.errs[addr]
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED),
		!w.seen[addr] && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF)):
		return fleet.ConnectionRefused
	case errors.Is(err, errConnected):
		return fleet.ConnectionAccepted
	case errors.As(err, &timeout) && timeout.Timeout():
		return fleet.Unanswered
	}
	return fleet.NoEvidence
}

var errConnected = errors.New("connected, and nothing came back in time")

// stream counts what is written, and notes how reading ended.
type stream struct {
	net.Conn
	wire *wire
	addr string
}

func (s *stream) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.wire.count.StreamBytes.Add(int64(n))
	if err != nil {
		s.wire.note(s.addr, err)
	}
	return n, err
}

func (s *stream) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	if n > 0 {
		s.wire.mu.Lock()
		if _, ok := s.wire.seen[s.addr]; ok {
			s.wire.seen[s.addr] = true
		}
		s.wire.mu.Unlock()
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		s.wire.note(s.addr, errConnected)
	} else if err != nil {
		s.wire.note(s.addr, err)
	}
	return n, err
}

// lines takes what memberlist logs. Packets of strangers are many, and only counted.
type lines struct{ f *Fleet }

func (l lines) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	text = strings.Replace(text, "memberlist: ", "", 1)
	level, rest, ok := strings.Cut(strings.TrimPrefix(text, "["), "] ")
	if !ok {
		level, rest = "WARN", text
	}
	c := &l.f.Counters
	switch {
	case strings.Contains(rest, "ecrypt"), strings.Contains(rest, "label"):
		c.ForeignPackets.Add(1)
		l.f.warn.Warn("fleet stranger", rest, nil)
		return len(b), nil
	case strings.HasPrefix(rest, "Suspect "):
		c.Suspicions.Add(1)
	case strings.HasPrefix(rest, "Refuting"):
		c.Objections.Add(1)
	}
	switch level {
	case "ERR":
		if strings.Contains(rest, "ecode") || strings.Contains(rest, "type") || strings.Contains(rest, "too short") {
			c.Malformed.Add(1)
		}
		l.f.warn.Warn("fleet "+key(rest), rest, nil)
	case "WARN":
		l.f.warn.Warn("fleet "+key(rest), rest, nil)
	default:
		l.f.log.Debug("fleet: " + rest)
	}
	return len(b), nil
}

// key is the beginning of a line, by which lines of one kind are limited together.
func key(text string) string { return text[:min(len(text), 20)] }

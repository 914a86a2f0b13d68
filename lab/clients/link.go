package clients

import (
	"bufio"
	"net"
	"strconv"
	"sync"
	"time"

	"falldeal/lab/fakes"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	mostOpen  = 32 // requests on one connection; protocol
	dialLimit = time.Second
)

// link is a connection to a server.
type link struct {
	nc   net.Conn
	mu   sync.Mutex
	out  *bufio.Writer
	enc  *msgpack.Encoder
	last uint32
	open map[uint32]chan answer
	gone bool // the server asked for no more, or the connection has ended
}

// link returns a connection to s with room on it, or nil where none can be had.
func (f *frontEnd) link(s *Server) *link {
	key := s.Name + " " + s.Addr
	f.mu.Lock()
	l := f.links[key]
	f.mu.Unlock()
	if l != nil && l.room() {
		return l
	}
	nc, err := net.DialTimeout("tcp", s.Addr, dialLimit)
	if err != nil {
		return nil
	}
	out := bufio.NewWriter(nc)
	l = &link{nc: nc, out: out, enc: msgpack.NewEncoder(out), open: map[uint32]chan answer{}}
	go l.read()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.links[key] = l // one that was full goes on until its answers are in
	return l
}

func (f *frontEnd) unlink(s *Server, l *link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if key := s.Name + " " + s.Addr; f.links[key] == l {
		delete(f.links, key)
	}
}

func (f *frontEnd) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.links {
		l.nc.Close()
	}
}

func (l *link) room() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.gone && len(l.open) < mostOpen
}

// ask writes a request. The channel brings its answer, or is closed with the connection.
func (l *link) ask(method string, fields map[string]string, body []byte) (<-chan answer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.gone {
		return nil, false
	}
	l.last++
	got := make(chan answer, 2)
	l.open[l.last] = got
	_ = l.nc.SetWriteDeadline(time.Now().Add(dialLimit))
	err := l.enc.Encode([]any{0, l.last, method, []any{fields, body}})
	if err == nil {
		err = l.out.Flush()
	}
	if err != nil {
		delete(l.open, l.last)
		l.nc.Close()
		return nil, false
	}
	return got, true
}

// read hands out answers until the connection ends.
func (l *link) read() {
	dec := msgpack.NewDecoder(bufio.NewReader(l.nc))
	for {
		m, err := dec.DecodeSlice()
		if err != nil || len(m) < 3 || len(m) > 4 {
			break
		}
		if len(m) == 3 { // a notification: closing
			l.mu.Lock()
			l.gone = true
			idle := len(l.open) == 0
			l.mu.Unlock()
			if idle {
				break
			}
			continue
		}
		id := number(m[1])
		l.mu.Lock()
		got := l.open[id]
		delete(l.open, id)
		idle := l.gone && len(l.open) == 0
		l.mu.Unlock()
		if got != nil {
			got <- parse(m[2], m[3])
		}
		if idle {
			break
		}
	}
	l.nc.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gone = true
	for id, got := range l.open {
		delete(l.open, id)
		close(got)
	}
}

func number(v any) uint32 {
	switch n := v.(type) {
	case int8:
		return uint32(n)
	case uint8:
		return uint32(n)
	case uint16:
		return uint32(n)
	case uint32:
		return n
	case int64:
		return uint32(n)
	case uint64:
		return uint32(n)
	case int32:
		return uint32(n)
	case int16:
		return uint32(n)
	}
	return 0
}

// parse reads the error of an answer: nil, or a list of its name and fields.
func parse(fault, result any) answer {
	if fault == nil {
		a := answer{word: "served"}
		if list, _ := result.([]any); len(list) > 0 {
			body, _ := list[0].([]byte)
			a.poorer = string(body) == fakes.DegradedResult
		}
		return a
	}
	list, _ := fault.([]any)
	if len(list) == 0 || list[0] != "Overloaded" {
		return answer{word: "failed"}
	}
	a := answer{word: "refused"}
	if len(list) > 1 {
		if fields, ok := list[1].(map[string]any); ok {
			if text, ok := fields["after"].(string); ok {
				ms, _ := strconv.ParseFloat(text, 64)
				a.after = time.Duration(ms * float64(time.Millisecond))
			}
			a.last = fields["last"] == "1"
		}
	}
	return a
}

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
	maxPending  = 32 // requests on one connection; protocol
	dialTimeout = time.Second
)

// serverConn is a connection to a server.
type serverConn struct {
	conn     net.Conn
	mu       sync.Mutex
	writer   *bufio.Writer
	encoder  *msgpack.Encoder
	lastCall uint32
	pending  map[uint32]chan answer
	closing  bool // the server asked for no more, or the connection has ended
}

// dial returns a connection to s with room on it, or nil where none can be had.
func (f *frontEnd) dial(target *Server) *serverConn {
	key := target.Name + " " + target.Addr
	f.mu.Lock()
	conn := f.conns[key]
	f.mu.Unlock()
	if conn != nil && conn.hasCapacity() {
		return conn
	}
	dialed, err := net.DialTimeout("tcp", target.Addr, dialTimeout)
	if err != nil {
		return nil
	}
	writer := bufio.NewWriter(dialed)
	conn = &serverConn{conn: dialed, writer: writer, encoder: msgpack.NewEncoder(writer), pending: map[uint32]chan answer{}}
	go conn.readAnswers()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[key] = conn // one that was full goes on until its answers are in
	return conn
}

func (f *frontEnd) forget(target *Server, conn *serverConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if key := target.Name + " " + target.Addr; f.conns[key] == conn {
		delete(f.conns, key)
	}
}

func (f *frontEnd) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.conns {
		l.conn.Close()
	}
}

func (l *serverConn) hasCapacity() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closing && len(l.pending) < maxPending
}

// send writes a request. The channel brings its answer, or is closed with the connection.
func (l *serverConn) send(method string, fields map[string]string, body []byte) (<-chan answer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return nil, false
	}
	l.lastCall++
	answers := make(chan answer, 2)
	l.pending[l.lastCall] = answers
	_ = l.conn.SetWriteDeadline(time.Now().Add(dialTimeout))
	err := l.encoder.Encode([]any{0, l.lastCall, method, []any{fields, body}})
	if err == nil {
		err = l.writer.Flush()
	}
	if err != nil {
		delete(l.pending, l.lastCall)
		l.conn.Close()
		return nil, false
	}
	return answers, true
}

// readAnswers hands out answers until the connection ends.
func (l *serverConn) readAnswers() {
	decoder := msgpack.NewDecoder(bufio.NewReader(l.conn))
	for {
		message, err := decoder.DecodeSlice()
		if err != nil || len(message) < 3 || len(message) > 4 {
			break
		}
		if len(message) == 3 { // a notification: closing
			l.mu.Lock()
			l.closing = true
			idle := len(l.pending) == 0
			l.mu.Unlock()
			if idle {
				break
			}
			continue
		}
		id := callNumber(message[1])
		l.mu.Lock()
		answers := l.pending[id]
		delete(l.pending, id)
		idle := l.closing && len(l.pending) == 0
		l.mu.Unlock()
		if answers != nil {
			answers <- parseAnswer(message[2], message[3])
		}
		if idle {
			break
		}
	}
	l.conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for id, answers := range l.pending {
		delete(l.pending, id)
		close(answers)
	}
}

func callNumber(value any) uint32 {
	switch n := value.(type) {
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

// parseAnswer reads the error of an answer: nil, or a list of its name and fields.
func parseAnswer(failure, result any) answer {
	if failure == nil {
		parsed := answer{outcome: "served"}
		if list, _ := result.([]any); len(list) > 0 {
			body, _ := list[0].([]byte)
			parsed.degraded = string(body) == fakes.DegradedResult
		}
		return parsed
	}
	list, _ := failure.([]any)
	if len(list) == 0 || list[0] != "Overloaded" {
		return answer{outcome: "failed"}
	}
	parsed := answer{outcome: "refused"}
	if len(list) > 1 {
		if fields, ok := list[1].(map[string]any); ok {
			if text, ok := fields["after"].(string); ok {
				ms, _ := strconv.ParseFloat(text, 64)
				parsed.retryAfter = time.Duration(ms * float64(time.Millisecond))
			}
			parsed.noRetry = fields["last"] == "1"
		}
	}
	return parsed
}

package clients

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"falldeal/lab/fakes"
	"falldeal/lab/frontrpc"
	"falldeal/lab/history"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	maxPending     = 32          // maximum requests in flight on one connection; the protocol defines it
	networkTimeout = time.Second // bounds a dial and the write of a request
)

// serverConn is a connection to a server, shared by the requests of one front end. Its own goroutine reads the
// answers until the connection ends.
type serverConn struct {
	conn net.Conn

	// mu guards the fields below.
	mu       sync.Mutex
	writer   *bufio.Writer
	encoder  *msgpack.Encoder
	lastCall uint32                 // call number of the last request
	pending  map[uint32]chan answer // by call number
	closing  bool                   // no more requests are sent on the connection: it has ended or is to be closed
	maxCalls uint32                 // requests after which the connection is closed; 0: unlimited
}

// dial returns a connection to a server with capacity for one more request. It opens a new one if the current one is
// full or closing; requests on the old connection still get their answers. It returns nil if the dial fails.
func (f *frontEnd) dial(target Server) *serverConn {
	f.mu.Lock()
	existing := f.conns[target]
	f.mu.Unlock()
	if existing != nil && existing.hasCapacity() {
		return existing
	}
	dialed, err := (&net.Dialer{Timeout: networkTimeout}).Dial("tcp", target.Addr)
	if err != nil {
		return nil
	}
	writer := bufio.NewWriter(dialed)
	conn := &serverConn{
		conn:    dialed,
		writer:  writer,
		encoder: msgpack.NewEncoder(writer),
		pending: map[uint32]chan answer{},

		maxCalls: f.workload.RequestsPerConnection,
	}
	go conn.readAnswers()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[target] = conn
	return conn
}

// removeConn removes a connection that has ended, unless another one has already replaced it.
func (f *frontEnd) removeConn(target Server, conn *serverConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conns[target] == conn {
		delete(f.conns, target)
	}
}

// close closes all current connections.
func (f *frontEnd) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.conns {
		_ = conn.conn.Close() // all requests have ended
	}
}

// hasCapacity reports whether the connection accepts one more request.
func (c *serverConn) hasCapacity() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && len(c.pending) < maxPending
}

var (
	// errNoCallsLeft is returned for a request that was not sent because maxCalls others were.
	errNoCallsLeft = errors.New("no calls left on the connection")
	errClosing     = errors.New("connection is closing or has ended")
)

// send writes a request. The returned channel delivers the answer, or is closed if the connection ends without one.
func (c *serverConn) send(request *frontrpc.Request) (<-chan answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.maxCalls > 0 && c.lastCall >= c.maxCalls {
		return nil, errNoCallsLeft
	}
	if c.closing {
		return nil, errClosing
	}
	c.lastCall++
	answers := make(chan answer, 1)
	c.pending[c.lastCall] = answers
	if err := c.write(request); err != nil {
		delete(c.pending, c.lastCall)
		_ = c.conn.Close() // the write error means that it is broken
		return nil, err
	}
	if c.lastCall == c.maxCalls {
		c.closing = true // complete closes it with the last answer
	}
	return answers, nil
}

// write writes the request with the call number lastCall.
func (c *serverConn) write(request *frontrpc.Request) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(networkTimeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if err := request.Encode(c.encoder, c.lastCall); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	if err := c.writer.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	return nil
}

// readAnswers delivers answers until the connection ends. It then closes the channels of all pending requests.
func (c *serverConn) readAnswers() {
	defer c.abort()
	decoder := msgpack.NewDecoder(bufio.NewReader(c.conn))
	for {
		message, err := decoder.DecodeSlice()
		if err != nil {
			return
		}
		drained := false
		switch len(message) {
		case frontrpc.NotificationParts: // the protocol's only notification: the connection is closing
			drained = c.startClosing()
		case frontrpc.ResponseParts:
			drained = c.complete(callNumber(message[1]), parseAnswer(message[2], message[3]))
		default:
			return
		}
		if drained {
			return
		}
	}
}

// startClosing marks the connection as closing. It reports whether no request is pending.
func (c *serverConn) startClosing() (drained bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	return len(c.pending) == 0
}

// complete delivers the answer to a pending request. It reports whether that was the last one of a closing
// connection.
func (c *serverConn) complete(call uint32, reply answer) (drained bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answers := c.pending[call]; answers != nil {
		delete(c.pending, call)
		answers <- reply // does not block: the channel has a buffer of 1
	}
	return c.closing && len(c.pending) == 0
}

// abort closes the connection and the channels of all pending requests.
func (c *serverConn) abort() {
	_ = c.conn.Close() // the connection has ended or is no longer used
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	for call, answers := range c.pending {
		delete(c.pending, call)
		close(answers)
	}
}

// callNumber converts a call number from any integer type that the decoder returns. It returns 0, which no call has,
// for other types.
func callNumber(value any) uint32 {
	switch number := value.(type) {
	case int8:
		return uint32(number)
	case uint8:
		return uint32(number)
	case int16:
		return uint32(number)
	case uint16:
		return uint32(number)
	case int32:
		return uint32(number)
	case uint32:
		return number
	case int64:
		return uint32(number)
	case uint64:
		return uint32(number)
	}
	return 0
}

// parseAnswer converts the error and the result of a response. Failure is nil or a list of the error's name and
// fields.
func parseAnswer(failure, result any) answer {
	if failure == nil {
		return answer{outcome: history.OutcomeServed, degraded: isDegraded(result)}
	}
	parsed, ok := frontrpc.ParseFailure(failure)
	if !ok || parsed.Name != frontrpc.ErrorOverloaded {
		return answer{outcome: history.OutcomeFailed}
	}
	return answer{
		outcome: history.OutcomeRejected, retryAfter: parsed.RetryAfter, noRetry: parsed.NoRetryElsewhere,
	}
}

// isDegraded reports whether a result is that of a run without its call.
func isDegraded(result any) bool {
	list, ok := result.([]any)
	if !ok || len(list) == 0 {
		return false
	}
	body, ok := list[0].([]byte)
	return ok && string(body) == fakes.DegradedResult
}

package standin

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"falldeal/lab/frontrpc"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	maxOpenCalls  = 32 // requests that may be open on one connection
	dialTimeout   = 2 * time.Second
	notification  = 2 // type of a message that gets no answer
	cancelRequest = "cancelRequest"
)

var errNoAnswer = errors.New("the connection ended without an answer")

// Outcome is how a request ended.
type Outcome string

// The outcomes of a request.
const (
	Served  Outcome = "served"
	Refused Outcome = "Overloaded"
	Failed  Outcome = "failed"
	Broken  Outcome = "connection ended"
	Missing Outcome = "no answer"
)

// Answer is the answer to a request.
type Answer struct {
	Outcome Outcome
	Result  []byte        // only if it was served
	Reason  string        // name of the error, or how the connection ended
	After   time.Duration // how long the front end should stay away
	At      time.Time
}

// Conn is a connection of a front end. It is safe for concurrent use.
type Conn struct {
	netConn net.Conn
	mu      sync.Mutex
	buffer  *bufio.Writer
	encoder *msgpack.Encoder
	last    uint32                 // message id that was used last
	open    map[uint32]chan Answer // requests without an answer
	limit   uint32                 // number of requests after which it is used no more; 0 = none
	closing bool                   // the server has sent closing, or the connection has ended
}

// Dial opens a connection to an image server.
func Dial(address string) (*Conn, error) {
	netConn, err := net.DialTimeout("tcp", address, dialTimeout) //nolint:noctx // it has a time limit
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	buffer := bufio.NewWriter(netConn)
	conn := &Conn{netConn: netConn, buffer: buffer, encoder: msgpack.NewEncoder(buffer), open: map[uint32]chan Answer{}}
	go conn.read()
	return conn, nil
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.netConn.Close() }

// Usable reports whether a new request may be sent.
func (c *Conn) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && len(c.open) < maxOpenCalls
}

// Open returns the number of requests without an answer.
func (c *Conn) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Send sends a request. The answer arrives in the channel.
func (c *Conn) Send(request *frontrpc.Request) (<-chan Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil, errNoAnswer
	}
	c.last++
	if c.last == c.limit {
		c.closing = true
	}
	answer := make(chan Answer, 1)
	c.open[c.last] = answer
	if err := request.Encode(c.encoder, c.last); err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	if err := c.buffer.Flush(); err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	return answer, nil
}

// Cancel takes back the request whose answer would arrive in the channel.
func (c *Conn) Cancel(answers <-chan Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for call, answer := range c.open {
		if answer != answers {
			continue
		}
		delete(c.open, call)
		if c.encoder.Encode([]any{notification, cancelRequest, []any{call}}) == nil {
			_ = c.buffer.Flush() // the connection has ended if this fails
		}
	}
	c.closeIfDone()
}

// closeIfDone closes a connection that is used no more once everything on it is answered.
func (c *Conn) closeIfDone() {
	if c.closing && len(c.open) == 0 {
		_ = c.netConn.Close()
	}
}

// read reads answers until the connection ends.
func (c *Conn) read() {
	decoder := msgpack.NewDecoder(bufio.NewReader(c.netConn))
	for {
		message, err := decoder.DecodeSlice()
		if err != nil {
			c.end(err)
			return
		}
		c.handle(message)
	}
}

// end answers all open requests: their connection has ended.
func (c *Conn) end(reason error) {
	_ = c.netConn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	for call, answer := range c.open {
		answer <- Answer{Outcome: Broken, Reason: reason.Error(), At: time.Now()}
		delete(c.open, call)
	}
}

// handle handles a message of the image server: an answer, or the notification that the connection closes.
func (c *Conn) handle(message []any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(message) == frontrpc.NotificationParts {
		c.closing = true
	}
	if len(message) == frontrpc.ResponseParts {
		call := number(message[1])
		if answer := c.open[call]; answer != nil {
			answer <- parseAnswer(message)
			delete(c.open, call)
		}
	}
	c.closeIfDone()
}

// parseAnswer reads the error and the result of a response.
func parseAnswer(message []any) Answer {
	if message[2] != nil {
		failure, _ := frontrpc.ParseFailure(message[2])
		if failure.Name == frontrpc.ErrorOverloaded {
			return Answer{Outcome: Refused, Reason: failure.Name, After: failure.RetryAfter, At: time.Now()}
		}
		return Answer{Outcome: Failed, Reason: failure.Name, At: time.Now()}
	}
	result, _ := message[3].([]any)
	if len(result) == 0 {
		return Answer{Outcome: Failed, Reason: "unreadable", At: time.Now()}
	}
	body, _ := result[0].([]byte)
	return Answer{Outcome: Served, Result: body, At: time.Now()}
}

// number returns a message id, which the decoder gives in the smallest type that holds it.
func number(value any) uint32 {
	switch value := value.(type) {
	case int8:
		return uint32(value)
	case uint8:
		return uint32(value)
	case int16:
		return uint32(value)
	case uint16:
		return uint32(value)
	case int32:
		return uint32(value)
	case uint32:
		return value
	case int64:
		return uint32(value)
	case uint64:
		return uint32(value)
	default:
		return 0
	}
}

package peers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	maxOpen  = 32                    // requests on one connection
	crossing = 50 * time.Millisecond // a request this close to the end of its connection is sent once more
)

var errBusy = errors.New("connection is full or closing")

// FrontEnd sends requests over as many connections as it needs.
type FrontEnd struct {
	Record  *Record
	Book    *Book
	Address string
	Number  int

	mu    sync.Mutex
	conns []*Conn
}

// Conn is a connection of a front end.
type Conn struct {
	front *FrontEnd
	net.Conn

	mu      sync.Mutex
	last    uint32
	open    map[uint32]*Try
	closing bool
	ended   bool
}

// Dial opens a connection that only its caller uses.
func (f *FrontEnd) Dial() (*Conn, error) {
	conn, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(context.Background(), "tcp4", f.Address)
	if err != nil {
		return nil, fmt.Errorf("front end: %w", err)
	}
	opened := &Conn{front: f, Conn: conn, open: map[uint32]*Try{}}
	go opened.read()
	return opened, nil
}

// Send sends a try on a connection of the pool, on a new one if all are full or closing.
func (f *FrontEnd) Send(try *Try) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.conns {
		if err := conn.Send(try); err == nil {
			return nil
		}
	}
	conn, err := f.Dial()
	if err != nil {
		return err
	}
	f.conns = append(f.conns, conn)
	return conn.Send(try)
}

// Reset ends all connections of the pool with a reset, as a front end does that restarts.
func (f *FrontEnd) Reset() {
	f.mu.Lock()
	conns := f.conns
	f.conns = nil
	f.mu.Unlock()
	for _, conn := range conns {
		conn.Reset()
	}
}

// Close closes the pool.
func (f *FrontEnd) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.conns {
		_ = conn.Close()
	}
}

// Reset ends the connection with a reset. What is open on it counts as gone.
func (c *Conn) Reset() {
	c.mu.Lock()
	c.closing = true
	var open []*Try
	for _, try := range c.open {
		open = append(open, try)
	}
	c.open = map[uint32]*Try{}
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
	for _, try := range open {
		c.front.Book.Gone(try, "reset by the front end")
	}
}

// Encode returns a request on the wire.
func Encode(call uint32, try *Try, from int) ([]byte, error) {
	fields := map[string]string{
		"id": try.ID, "at": strconv.FormatInt(try.At.UnixMilli(), 10), "from": strconv.Itoa(from),
		"wait": strconv.FormatInt(try.Wait.Milliseconds(), 10), "cost": "12.50", "kb": "24.5", "rank": "0.6250",
	}
	if try.Key != "" {
		fields["once"] = try.Key
	} else {
		fields["key"] = try.ID
	}
	b, err := msgpack.Marshal([]any{0, call, try.Class, []any{fields, try.Body}})
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return b, nil
}

// Send writes a try.
func (c *Conn) Send(try *Try) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.ended || len(c.open) >= maxOpen {
		return errBusy
	}
	c.last++
	if try.At.IsZero() {
		try.At = time.UnixMilli(time.Now().UnixMilli())
	}
	b, err := Encode(c.last, try, c.front.Number)
	if err != nil {
		return err
	}
	c.open[c.last] = try
	c.front.Book.write(try)
	if _, err := c.Write(b); err != nil {
		delete(c.open, c.last)
		go c.front.again(try)
		return nil
	}
	c.front.Book.written(try)
	return nil
}

// Cancel tells the image server that nobody waits for a try any more.
func (c *Conn) Cancel(try *Try) {
	c.mu.Lock()
	var call uint32
	for number, open := range c.open {
		if open == try {
			call = number
		}
	}
	if call != 0 {
		b, _ := msgpack.Marshal([]any{2, "cancelRequest", []any{call}})
		_, _ = c.Write(b)
	}
	c.mu.Unlock()
	if call != 0 {
		c.front.Book.Gone(try, "cancelled")
	}
}

// CancelAny cancels a try on whichever connection of the pool it is open.
func (f *FrontEnd) CancelAny(try *Try) {
	f.mu.Lock()
	conns := append([]*Conn(nil), f.conns...)
	f.mu.Unlock()
	for _, conn := range conns {
		conn.Cancel(try)
	}
}

// again sends a request once more that has crossed the end of its connection.
func (f *FrontEnd) again(try *Try) {
	f.Record.Add("%s crossed the end of its connection, sent again", try.ID)
	conn, err := f.Dial()
	if err != nil {
		f.Book.Gone(try, "connection refused")
		return
	}
	f.mu.Lock()
	f.conns = append(f.conns, conn)
	f.mu.Unlock()
	if conn.Send(try) != nil {
		f.Book.Gone(try, "not sent again")
	}
}

func (c *Conn) read() {
	decoder := msgpack.NewDecoder(bufio.NewReader(c.Conn))
	for {
		message, err := decoder.DecodeSlice()
		if err != nil || len(message) < 3 {
			c.endRead()
			return
		}
		c.handle(message)
	}
}

func (c *Conn) endRead() {
	c.mu.Lock()
	c.ended = true
	open := c.open
	c.open = map[uint32]*Try{}
	c.mu.Unlock()
	_ = c.Close()
	for _, try := range open {
		if time.Since(try.Written) < crossing {
			go c.front.again(try)
		} else {
			c.front.Book.connectionEnded(try)
		}
	}
}

func toInt(value any) int64 {
	number, err := strconv.ParseInt(fmt.Sprint(value), 10, 64)
	if err != nil {
		return -1
	}
	return number
}

func (c *Conn) handle(message []any) {
	if toInt(message[0]) == 2 {
		c.mu.Lock()
		c.closing = true
		idle := len(c.open) == 0
		c.mu.Unlock()
		if idle {
			_ = c.Close()
		}
		return
	}
	call := uint32(toInt(message[1]))
	c.mu.Lock()
	try := c.open[call]
	delete(c.open, call)
	done := c.closing && len(c.open) == 0
	c.mu.Unlock()
	if try == nil {
		c.front.Record.Add("answer to call %d, which is not open: %.80v", call, message)
	} else {
		kind, result := classify(message)
		c.front.Book.answer(try, kind, result)
	}
	if done {
		_ = c.Close()
	}
}

func classify(message []any) (kind, result string) {
	if message[2] == nil {
		if answer, ok := message[3].([]any); ok && len(answer) > 0 {
			if b, ok := answer[0].([]byte); ok {
				return Served, string(b)
			}
			return Served, fmt.Sprint(answer[0])
		}
		return "unreadable", fmt.Sprint(message)
	}
	if problem, ok := message[2].([]any); ok && len(problem) > 0 && fmt.Sprint(problem[0]) == "Overloaded" {
		return Refused, fmt.Sprint(problem[1:]...)
	}
	return "failed", fmt.Sprint(message[2])
}

// Healthy asks for the health of an image server on a connection of its own.
func Healthy(address string) bool {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp4", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	b, _ := msgpack.Marshal([]any{0, 1, "alive", []any{map[string]string{}}})
	if _, err := conn.Write(b); err != nil {
		return false
	}
	message, err := msgpack.NewDecoder(conn).DecodeSlice()
	if err != nil || len(message) < 4 {
		return false
	}
	answer, ok := message[3].([]any)
	return ok && len(answer) > 0 && answer[0] == true
}

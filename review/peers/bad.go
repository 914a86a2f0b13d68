package peers

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// BadClients are clients other than the front ends. Each sends requests that the agent does not know, as many at once
// as a connection may have open, and another one for each that is answered, at full speed. It reads what it is sent.
type BadClients struct {
	Record  *Record
	Address string
	Class   string
	Keyed   bool // each request has a key of its own
	Wait    time.Duration
	AtOnce  int // requests of one client at once
	Each    int // requests on one connection; then the client comes again on another one

	stopped atomic.Bool
	sent    atomic.Int64
}

// Start starts a number of clients.
func (b *BadClients) Start(clients int) {
	b.Record.Add("%d bad clients begin", clients)
	for range clients {
		go func() {
			for !b.stopped.Load() {
				if b.visit() != nil {
					time.Sleep(time.Millisecond)
				}
			}
		}()
	}
}

// Stop ends them.
func (b *BadClients) Stop() {
	b.stopped.Store(true)
	b.Record.Add("bad clients end, %d requests sent", b.sent.Load())
}

// visit uses one connection until it ends.
func (b *BadClients) visit() error {
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp4", b.Address)
	if err != nil {
		return err //nolint:wrapcheck // the caller tries again
	}
	defer conn.Close()
	call := uint32(0)
	send := func() error {
		call++
		try := &Try{ID: NewID(8), Class: b.Class, Body: []byte("from a bad client"), Wait: b.Wait}
		if b.Keyed {
			try.Key = NewID(16)
		}
		try.At = time.Now()
		request, err := Encode(call, try, 99)
		if err == nil {
			_, err = conn.Write(request)
			b.sent.Add(1)
		}
		return err //nolint:wrapcheck // it says what failed
	}
	for range b.AtOnce {
		if err := send(); err != nil {
			return err //nolint:wrapcheck // it says what failed
		}
	}
	decoder := msgpack.NewDecoder(bufio.NewReader(conn))
	for !b.stopped.Load() && int(call) < b.Each {
		if _, err := decoder.DecodeSlice(); err != nil {
			return err //nolint:wrapcheck // the caller tries again
		}
		if err := send(); err != nil {
			return err //nolint:wrapcheck // it says what failed
		}
	}
	return nil
}

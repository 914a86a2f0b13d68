package clients

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"falldeal/lab/frontrpc"

	"github.com/vmihailenco/msgpack/v5"
)

// FloodBody is the body of each request of a Flood.
const FloodBody = "flood"

// floodRedialDelay is the pause of a client whose connection has ended.
const floodRedialDelay = time.Millisecond

// Flood describes clients that send valid requests at full speed: each sends the next request as soon as one is answered, and
// reads all answers.
type Flood struct {
	Address string
	Clients int // each with one connection
	Open    int // requests that each client keeps open

	// RequestsPerConnection is the number of requests after which a client opens a new connection; 0: unlimited.
	RequestsPerConnection int
	Class                 string
	Keyed                 bool          // each request has a different idempotency key
	Timeout               time.Duration // stated in each request
	Cancel                bool          // each request is cancelled at once; a client then does not wait for answers
}

// Run sends requests until ctx ends, and returns how many were sent.
func (f Flood) Run(ctx context.Context) (sent int64) {
	attemptIDs.CompareAndSwap(0, uint64(time.Now().UnixNano()))
	var total atomic.Int64
	var group sync.WaitGroup
	for range f.Clients {
		group.Go(func() {
			for ctx.Err() == nil {
				if f.useConnection(ctx, &total) != nil {
					time.Sleep(floodRedialDelay)
				}
			}
		})
	}
	group.Wait()
	return total.Load()
}

// useConnection sends requests on one connection until it ends or RequestsPerConnection were sent.
func (f Flood) useConnection(ctx context.Context, total *atomic.Int64) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", f.Address)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })() // ends a blocked read or write
	if f.Cancel {
		go discardAnswers(conn)
	}
	writer := bufio.NewWriter(conn)
	encoder, decoder := msgpack.NewEncoder(writer), msgpack.NewDecoder(bufio.NewReader(conn))
	for call := 1; f.RequestsPerConnection == 0 || call <= f.RequestsPerConnection; call++ {
		if call > f.Open && !f.Cancel {
			if _, err := decoder.DecodeSlice(); err != nil {
				return fmt.Errorf("read answer: %w", err)
			}
		}
		if err := f.send(encoder, uint32(call)); err != nil { //nolint:gosec // far below the limit
			return err
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("write request: %w", err)
		}
		total.Add(1)
	}
	return nil
}

// send encodes a request and, if the flood cancels its requests, the cancellation.
func (f Flood) send(encoder *msgpack.Encoder, call uint32) error {
	request := frontrpc.Request{
		Class:    f.Class,
		ID:       fmt.Sprintf("%016x", attemptIDs.Add(1)),
		MemoryKB: 1,
		SentAt:   time.Now(),
		Timeout:  f.Timeout,
		CostHint: time.Millisecond,
		Body:     []byte(FloodBody),
	}
	if f.Keyed {
		request.IdempotencyKey = request.ID + request.ID
	}
	if err := request.Encode(encoder, call); err != nil {
		return fmt.Errorf("write request: %w", err)
	}
	if f.Cancel {
		return frontrpc.EncodeCancel(encoder, call) //nolint:wrapcheck // the error says what failed
	}
	return nil
}

// discardAnswers reads until the connection ends.
func discardAnswers(conn net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// Package load generates closed-loop load on one image server over MessagePack-RPC (package frontrpc).
package load

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"
)

// timeoutSlack bounds the dial of a client, and how long it waits for an answer after the timeout of the request.
const timeoutSlack = 10 * time.Second

// Plan describes a closed loop: each client has one connection with one request in flight, until Requests have been
// sent.
type Plan struct {
	Addr              string // of the image server
	Clients           int
	Requests          int           // of all clients together
	Classes           []string      // each client sends them round robin
	IdempotentClasses []string      // the Classes whose requests carry an idempotency key
	BodyBytes         int           // size of the body of a request
	Timeout           time.Duration // of a request
	CostHint          time.Duration // processor time that a request declares
}

// Report counts the answers by their outcome.
type Report struct{ Served, Rejected, Failed int64 }

// Total returns the number of all answers.
func (r Report) Total() int64 { return r.Served + r.Rejected + r.Failed }

// counters counts the answers to all clients of a run.
type counters struct{ served, rejected, failed atomic.Int64 }

func (c *counters) add(result outcome) {
	switch result {
	case outcomeServed:
		c.served.Add(1)
	case outcomeRejected:
		c.rejected.Add(1)
	case outcomeFailed:
		c.failed.Add(1)
	}
}

func (c *counters) report() Report {
	return Report{Served: c.served.Load(), Rejected: c.rejected.Load(), Failed: c.failed.Load()}
}

// Run runs a plan. It returns an error if a connection fails, if an answer is malformed or does not arrive in time, or
// if ctx ends. The report then counts the answers received until then.
func Run(ctx context.Context, plan Plan) (Report, error) {
	var counts counters
	var remaining atomic.Int64
	remaining.Store(int64(plan.Requests))
	group, ctx := errgroup.WithContext(ctx)
	for client := range plan.Clients {
		group.Go(func() error { return plan.runClient(ctx, client, &remaining, &counts) })
	}
	if err := group.Wait(); err != nil {
		return counts.report(), fmt.Errorf("load: %w", err)
	}
	return counts.report(), nil
}

// runClient sends one request after the other while requests of the plan remain.
func (p *Plan) runClient(ctx context.Context, client int, remaining *atomic.Int64, counts *counters) error {
	conn, err := (&net.Dialer{Timeout: timeoutSlack}).DialContext(ctx, "tcp", p.Addr)
	if err != nil {
		return fmt.Errorf("client %d: %w", client, err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })() // unblocks a read or write when ctx ends
	writer := bufio.NewWriter(conn)
	encoder := msgpack.NewEncoder(writer)
	decoder := msgpack.NewDecoder(bufio.NewReader(conn))
	for call := uint32(1); remaining.Add(-1) >= 0; call++ {
		if err := conn.SetDeadline(time.Now().Add(p.Timeout + timeoutSlack)); err != nil {
			return fmt.Errorf("client %d, call %d: set deadline: %w", client, call, err)
		}
		if err := p.writeRequest(encoder, client, call); err != nil {
			return fmt.Errorf("client %d, call %d: %w", client, call, err)
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("client %d, call %d: write request: %w", client, call, err)
		}
		result, err := readAnswer(decoder, call)
		if err != nil {
			return fmt.Errorf("client %d, call %d: %w", client, call, err)
		}
		counts.add(result)
	}
	return nil
}

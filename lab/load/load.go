// Package load asks an image server for work over MessagePack-RPC, as the protocol page describes front ends.
// Its codec is a library's and not that of the server, so that each checks the other.
package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"
)

// timeoutSlack is how long a caller waits for a connection, or past the end of its wait for an answer.
const timeoutSlack = 10 * time.Second

// Plan is a closed loop: each caller has one connection and one request open on it, Requests in all.
type Plan struct {
	Addr         string
	Clients      int
	Requests     int
	Classes      []string      // taken in turn
	KeyedClasses []string      // those of them whose requests must run once
	BodyBytes    int           // bytes
	Timeout      time.Duration // that each request may take
	CostHint     time.Duration // the hint
}

// Report counts answers.
type Report struct{ Served, Rejected, Failed int64 }

// Total is how many answers came.
func (r Report) Total() int64 { return r.Served + r.Rejected + r.Failed }

type counters struct{ served, rejected, failed atomic.Int64 }

// attemptIDs are unique within a process; a run of it starts at another number.
var attemptIDs atomic.Uint64

func init() { attemptIDs.Store(uint64(time.Now().UnixNano())) }

// Run carries out a plan. Its error tells of an answer that never came or can't be read.
func Run(ctx context.Context, plan Plan) (Report, error) {
	var counts counters
	var remaining atomic.Int64
	remaining.Store(int64(plan.Requests))
	group, ctx := errgroup.WithContext(ctx)
	for client := range plan.Clients {
		group.Go(func() error { return plan.runClient(ctx, client, &remaining, &counts) })
	}
	err := group.Wait()
	return Report{counts.served.Load(), counts.rejected.Load(), counts.failed.Load()}, err
}

func (p *Plan) runClient(ctx context.Context, client int, remaining *atomic.Int64, counts *counters) error {
	conn, err := (&net.Dialer{Timeout: timeoutSlack}).DialContext(ctx, "tcp", p.Addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	writer := bufio.NewWriter(conn)
	encoder, decoder := msgpack.NewEncoder(writer), msgpack.NewDecoder(bufio.NewReader(conn))
	for call := uint32(1); remaining.Add(-1) >= 0; call++ {
		if err := conn.SetDeadline(time.Now().Add(p.Timeout + timeoutSlack)); err != nil {
			return err
		}
		if err := p.send(encoder, client, call); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
		if err := counts.readAnswer(decoder, call); err != nil {
			return fmt.Errorf("caller %d, call %d: %w", client, call, err)
		}
	}
	return nil
}

func (p *Plan) send(encoder *msgpack.Encoder, client int, call uint32) error {
	class := p.Classes[int(call)%len(p.Classes)]
	id := attemptIDs.Add(1)
	fields := map[string]string{"id": fmt.Sprintf("%016x", id), "from": strconv.Itoa(client), "kb": "4.0", "rank": "0.5",
		"at":   strconv.FormatInt(time.Now().UnixMilli(), 10),
		"wait": strconv.FormatInt(p.Timeout.Milliseconds(), 10),
		"cost": strconv.FormatFloat(float64(p.CostHint)/float64(time.Millisecond), 'f', 2, 64)}
	if slices.Contains(p.KeyedClasses, class) {
		fields["once"] = fmt.Sprintf("%032x", id)
	} else {
		fields["key"] = fmt.Sprintf("%016x", id%1000)
	}
	return encoder.Encode([]any{0, call, class, []any{fields, make([]byte, p.BodyBytes)}})
}

var errUnexpectedAnswer = errors.New("not the answer to the call")

// readAnswer reads one answer and counts it.
func (n *counters) readAnswer(decoder *msgpack.Decoder, call uint32) error {
	parts, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	kind, err := decoder.DecodeInt()
	if err != nil {
		return err
	}
	id, err := decoder.DecodeUint32()
	if err != nil {
		return err
	}
	if parts != 4 || kind != 1 || id != call {
		return fmt.Errorf("%w: %d parts, kind %d, id %d", errUnexpectedAnswer, parts, kind, id)
	}
	failure, err := decoder.DecodeInterface()
	if err != nil {
		return err
	}
	if _, err := decoder.DecodeInterface(); err != nil {
		return err
	}
	switch list, ok := failure.([]any); {
	case failure == nil:
		n.served.Add(1)
	case !ok || len(list) == 0:
		return fmt.Errorf("%w: error %.80v", errUnexpectedAnswer, failure)
	case list[0] == "Overloaded":
		n.rejected.Add(1)
	default:
		n.failed.Add(1)
	}
	return nil
}

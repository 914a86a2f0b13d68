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

// patience is how long a caller waits for a connection, or past the end of its wait for an answer.
const patience = 10 * time.Second

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

type counts struct{ served, refused, failed atomic.Int64 }

// ids are unique within a process; a run of it starts at another number.
var ids atomic.Uint64

func init() { ids.Store(uint64(time.Now().UnixNano())) }

// Run carries out a plan. Its error tells of an answer that never came or can't be read.
func Run(ctx context.Context, p Plan) (Report, error) {
	var n counts
	var left atomic.Int64
	left.Store(int64(p.Requests))
	g, ctx := errgroup.WithContext(ctx)
	for caller := range p.Clients {
		g.Go(func() error { return p.call(ctx, caller, &left, &n) })
	}
	err := g.Wait()
	return Report{n.served.Load(), n.refused.Load(), n.failed.Load()}, err
}

func (p *Plan) call(ctx context.Context, caller int, left *atomic.Int64, n *counts) error {
	nc, err := (&net.Dialer{Timeout: patience}).DialContext(ctx, "tcp", p.Addr)
	if err != nil {
		return err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	out := bufio.NewWriter(nc)
	enc, dec := msgpack.NewEncoder(out), msgpack.NewDecoder(bufio.NewReader(nc))
	for call := uint32(1); left.Add(-1) >= 0; call++ {
		if err := nc.SetDeadline(time.Now().Add(p.Timeout + patience)); err != nil {
			return err
		}
		if err := p.ask(enc, caller, call); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
		if err := n.answer(dec, call); err != nil {
			return fmt.Errorf("caller %d, call %d: %w", caller, call, err)
		}
	}
	return nil
}

func (p *Plan) ask(enc *msgpack.Encoder, caller int, call uint32) error {
	class := p.Classes[int(call)%len(p.Classes)]
	id := ids.Add(1)
	fields := map[string]string{"id": fmt.Sprintf("%016x", id), "from": strconv.Itoa(caller), "kb": "4.0", "rank": "0.5",
		"at":   strconv.FormatInt(time.Now().UnixMilli(), 10),
		"wait": strconv.FormatInt(p.Timeout.Milliseconds(), 10),
		"cost": strconv.FormatFloat(float64(p.CostHint)/float64(time.Millisecond), 'f', 2, 64)}
	if slices.Contains(p.KeyedClasses, class) {
		fields["once"] = fmt.Sprintf("%032x", id)
	} else {
		fields["key"] = fmt.Sprintf("%016x", id%1000)
	}
	return enc.Encode([]any{0, call, class, []any{fields, make([]byte, p.BodyBytes)}})
}

var errAnswer = errors.New("not the answer to the call")

// answer reads one answer and counts it.
func (n *counts) answer(dec *msgpack.Decoder, call uint32) error {
	parts, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	kind, err := dec.DecodeInt()
	if err != nil {
		return err
	}
	id, err := dec.DecodeUint32()
	if err != nil {
		return err
	}
	if parts != 4 || kind != 1 || id != call {
		return fmt.Errorf("%w: %d parts, kind %d, id %d", errAnswer, parts, kind, id)
	}
	fault, err := dec.DecodeInterface()
	if err != nil {
		return err
	}
	if _, err := dec.DecodeInterface(); err != nil {
		return err
	}
	switch list, ok := fault.([]any); {
	case fault == nil:
		n.served.Add(1)
	case !ok || len(list) == 0:
		return fmt.Errorf("%w: error %.80v", errAnswer, fault)
	case list[0] == "Overloaded":
		n.refused.Add(1)
	default:
		n.failed.Add(1)
	}
	return nil
}

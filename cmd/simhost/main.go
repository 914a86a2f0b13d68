// Command simhost runs falldeal's decisions on the simulator's wire: it hosts one controller for
// each node, reads batches of events from standard input and answers each with a batch of actions.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"falldeal/admission"
	"falldeal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// node is one hosted controller; ctl is nil once it is broken.
type node struct {
	ctl    *admission.Controller
	events []admission.Event
	due    bool // it has an event in this batch
}

type host struct {
	nodes   map[int]*node
	order   []int // nodes with an event in this batch, as they first appear
	actions []admission.Action
	out     []byte
}

func serve(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), bufio.NewWriterSize(out, 1<<16)
	h := host{nodes: map[int]*node{}}
	var b wire.Batch
	for {
		err := r.Read(&b)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.batch(&b); err != nil {
			return err
		}
		h.out = append(h.out, "FINISHED\n"...)
		if _, err := w.Write(h.out); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
}

func (h *host) batch(b *wire.Batch) error {
	h.out, h.order = h.out[:0], h.order[:0]
	for i := range b.Messages {
		m := &b.Messages[i]
		n := h.nodes[m.Node]
		if n == nil && m.Kind != wire.Create {
			return fmt.Errorf("line %d: field NodeId: unknown instance %d", m.Line, m.Node)
		}
		switch m.Kind {
		case wire.Create:
			h.create(m, b)
		case wire.Retire:
			delete(h.nodes, m.Node)
		case wire.Happen:
			n.events = append(n.events, m.Event)
			h.mark(m.Node, n)
		}
	}
	for _, id := range h.order {
		if n := h.nodes[id]; n != nil && n.due {
			n.due = false
			h.step(id, n, b)
			n.events = n.events[:0]
		}
	}
	return nil
}

func (h *host) mark(id int, n *node) {
	if !n.due {
		n.due = true
		h.order = append(h.order, id)
	}
}

func (h *host) create(m *wire.Message, b *wire.Batch) {
	n := &node{}
	h.nodes[m.Node] = n
	s, err := wire.Settings(m.Conf)
	if err == nil {
		n.ctl, err = admission.New(s, m.Seed, b.Now)
	}
	if err != nil {
		n.ctl = nil
		h.out = wire.AppendBroken(h.out, m.Node, err)
		return
	}
	h.mark(m.Node, n)
}

func (h *host) step(id int, n *node, b *wire.Batch) {
	if n.ctl == nil {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			n.ctl = nil
			h.out = wire.AppendBroken(h.out, id, fmt.Errorf("panic: %v", p))
		}
	}()
	h.actions = n.ctl.Step(b.Now, n.events, h.actions[:0])
	for _, a := range h.actions {
		h.out = wire.AppendAction(h.out, id, a)
	}
}

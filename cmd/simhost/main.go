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
	controller *admission.Controller
	events     []admission.Event
	pending    bool // it has an event in this batch
}

type host struct {
	nodes   map[int]*node
	pending []int // nodes with an event in this batch, as they first appear
	actions []admission.Action
	reply   []byte
}

func serve(in io.Reader, out io.Writer) error {
	reader, writer := wire.NewReader(in), bufio.NewWriterSize(out, 1<<16)
	simulator := host{nodes: map[int]*node{}}
	var batch wire.Batch
	for {
		err := reader.Read(&batch)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := simulator.handleBatch(&batch); err != nil {
			return err
		}
		simulator.reply = append(simulator.reply, "FINISHED\n"...)
		if _, err := writer.Write(simulator.reply); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
}

func (h *host) handleBatch(batch *wire.Batch) error {
	h.reply, h.pending = h.reply[:0], h.pending[:0]
	for i := range batch.Messages {
		message := &batch.Messages[i]
		target := h.nodes[message.Node]
		if target == nil && message.Kind != wire.MessageCreate {
			return fmt.Errorf("line %d: field NodeId: unknown instance %d", message.Line, message.Node)
		}
		switch message.Kind {
		case wire.MessageCreate:
			h.create(message, batch)
		case wire.MessageRetire:
			delete(h.nodes, message.Node)
		case wire.MessageEvent:
			target.events = append(target.events, message.Event)
			h.markPending(message.Node, target)
		}
	}
	for _, id := range h.pending {
		if target := h.nodes[id]; target != nil && target.pending {
			target.pending = false
			h.step(id, target, batch)
			target.events = target.events[:0]
		}
	}
	return nil
}

func (h *host) markPending(id int, target *node) {
	if !target.pending {
		target.pending = true
		h.pending = append(h.pending, id)
	}
}

func (h *host) create(message *wire.Message, batch *wire.Batch) {
	created := &node{}
	h.nodes[message.Node] = created
	settings, err := wire.ParseSettings(message.Settings)
	if err == nil {
		created.controller, err = admission.New(settings, message.Seed, batch.Now)
	}
	if err != nil {
		created.controller = nil
		h.reply = wire.AppendBroken(h.reply, message.Node, err)
		return
	}
	h.markPending(message.Node, created)
}

func (h *host) step(id int, target *node, batch *wire.Batch) {
	if target.controller == nil {
		return
	}
	defer func() {
		if reason := recover(); reason != nil {
			target.controller = nil
			h.reply = wire.AppendBroken(h.reply, id, fmt.Errorf("panic: %v", reason))
		}
	}()
	h.actions = target.controller.Step(batch.Now, target.events, h.actions[:0])
	for _, action := range h.actions {
		h.reply = wire.AppendAction(h.reply, id, action)
	}
}

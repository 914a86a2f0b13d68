package main

import (
	"fmt"

	"falldeal/admission"
	"falldeal/wire"
)

// node is one simulated server.
type node struct {
	controller *admission.Controller // nil if the settings were invalid or the controller panicked
	events     []admission.Event     // events of this batch
	pending    bool                  // the node must be stepped in this batch
}

// host runs the controllers of all nodes. It is not safe for concurrent use.
type host struct {
	nodes   map[int]*node      // by ID
	pending []int              // IDs of the nodes to step in this batch, in order of first appearance
	actions []admission.Action // actions of one step; kept to reuse its memory
	reply   []byte             // reply to this batch; kept to reuse its memory
}

func newHost() *host { return &host{nodes: map[int]*node{}} }

// handle processes a batch, steps the nodes that it is about, and returns the reply. The reply is valid until the
// next call.
func (h *host) handle(batch *wire.Batch) ([]byte, error) {
	h.reply = h.reply[:0]
	h.pending = h.pending[:0]
	for i := range batch.Messages {
		if err := h.receive(&batch.Messages[i], batch); err != nil {
			return nil, err
		}
	}
	for _, id := range h.pending {
		target := h.nodes[id]
		if target == nil || !target.pending {
			continue // retired, or listed twice because it was replaced
		}
		target.pending = false
		h.step(id, target, batch)
		target.events = target.events[:0]
	}
	h.reply = append(h.reply, replyEnd...)
	return h.reply, nil
}

// receive applies a message: it creates or retires a node, or queues an event for the next step of its node.
func (h *host) receive(message *wire.Message, batch *wire.Batch) error {
	target := h.nodes[message.Node]
	if target == nil && message.Kind != wire.MessageCreate {
		return &wire.LineError{Line: message.Line, Err: fmt.Errorf("field NodeId: unknown node %d", message.Node)}
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
	return nil
}

// markPending records that a node must be stepped in this batch.
func (h *host) markPending(id int, target *node) {
	if !target.pending {
		target.pending = true
		h.pending = append(h.pending, id)
	}
}

// create starts a node and replaces an existing node of the same ID. The first step of the node is made in this
// batch.
func (h *host) create(message *wire.Message, batch *wire.Batch) {
	created := &node{}
	h.nodes[message.Node] = created
	controller, err := newController(message, batch)
	if err != nil {
		h.reply = wire.AppendBroken(h.reply, message.Node, err)
		return
	}
	created.controller = controller
	h.markPending(message.Node, created)
}

// newController returns the controller of a node that starts. The texts of its errors are part of the protocol.
func newController(message *wire.Message, batch *wire.Batch) (*admission.Controller, error) {
	settings, err := wire.ParseSettings(message.Settings)
	if err != nil {
		return nil, err //nolint:wrapcheck // see above
	}
	return admission.New(settings, message.Seed, batch.Now) //nolint:wrapcheck // see above
}

// step passes the events of this batch to the controller of a node. A panic of the controller breaks only that node.
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

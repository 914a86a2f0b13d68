package main

import (
	"fmt"

	"falldeal/admission"
	"falldeal/wire"
)

// node is one simulated instance.
type node struct {
	controller *admission.Controller // nil if the settings were bad or the controller panicked
	events     []admission.Event     // of this batch
	pending    bool                  // it is to be stepped in this batch
}

// host runs the controllers of all nodes. It is used by one goroutine.
type host struct {
	nodes   map[int]*node
	pending []int              // ids of the nodes to be stepped in this batch, as they first appear
	actions []admission.Action // of one step; kept for its memory
	reply   []byte             // to this batch; kept for its memory
}

func newHost() *host { return &host{nodes: map[int]*node{}} }

// handle takes in a batch, steps the nodes concerned and returns the reply, which is valid until the next call.
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
			continue // it has been retired, or is listed twice as it has been replaced
		}
		target.pending = false
		h.step(id, target, batch)
		target.events = target.events[:0]
	}
	h.reply = append(h.reply, replyEnd...)
	return h.reply, nil
}

func (h *host) receive(message *wire.Message, batch *wire.Batch) error {
	target := h.nodes[message.Node]
	if target == nil && message.Kind != wire.MessageCreate {
		return &wire.LineError{Line: message.Line, Err: fmt.Errorf("field NodeId: unknown instance %d", message.Node)}
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

func (h *host) markPending(id int, target *node) {
	if !target.pending {
		target.pending = true
		h.pending = append(h.pending, id)
	}
}

// create starts a node, in place of the one of that id if there is one. Its first step is due in this batch.
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

// step has a node's controller decide on the events of this batch. A panic breaks that node only.
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

package msgpackrpc

import "math"

// messageKind is the kind of a message in MessagePack-RPC, as on the wire.
type messageKind byte

const (
	kindRequest      messageKind = 0
	kindResponse     messageKind = 1
	kindNotification messageKind = 2
)

// String returns the name of the kind.
func (k messageKind) String() string {
	switch k {
	case kindRequest:
		return "request"
	case kindResponse:
		return "response"
	case kindNotification:
		return "notification"
	}
	return "unknown"
}

// The methods with a meaning of their own; any other method of a request is its class.
const (
	methodHealth  = "alive"
	methodCancel  = "cancelRequest"
	methodClosing = "closing"
)

// The parts of a message, which is an array of them.
const (
	requestParts      = 4 // kind, call, method, parameters
	notificationParts = 3 // kind, method, parameters
)

// message is one frame from a client. It refers to the bytes of the frame.
type message struct {
	kind       messageKind
	call       uint32 // of a request; chosen by the client
	method     []byte // nil where it is no string
	params     cursor
	paramCount int // -1 where the parameters are no array
}

// parseMessage takes a frame apart. Its errors are FrameErrors; what is only wrong about a request is found later, so
// that it can be answered.
func parseMessage(frame []byte) (message, error) {
	msg := message{paramCount: -1}
	parts := cursor{frame}
	list := parts.header()
	if list.kind != valueArray || list.length < notificationParts {
		return msg, frameErrorf("%w: want an array of 3 or 4", errNotRPCMessage)
	}
	kind, ok := parts.uint32()
	if !ok || kind != uint32(kindRequest) && kind != uint32(kindNotification) {
		return msg, frameErrorf("%w: neither request nor notification", errNotRPCMessage)
	}
	msg.kind = messageKind(kind)
	wantParts := notificationParts
	if msg.kind == kindRequest {
		wantParts = requestParts
		call, ok := parts.uint32()
		if !ok {
			return msg, frameErrorf("%w: a request without a number", errNotRPCMessage)
		}
		msg.call = call
	}
	if list.length != wantParts {
		return msg, frameErrorf("%w: %d parts instead of %d", errNotRPCMessage, list.length, wantParts)
	}
	msg.method, _ = parts.bytes(valueString)
	if params := parts.header(); params.kind == valueArray {
		msg.paramCount = params.length
	}
	msg.params = parts
	return msg, nil
}

// cursor reads the values of a frame that is known to be whole, one after the other.
type cursor struct{ rest []byte }

// header reads the header of the next value. The rest of the value follows.
func (c *cursor) header() valueHeader {
	header, ok, err := parseHeader(c.rest)
	if err != nil || !ok {
		c.rest = nil // does not occur in a whole frame
		return valueHeader{kind: valueNil}
	}
	c.rest = c.rest[header.size:]
	return header
}

// payload returns the payload of the value with that header, and passes over it.
func (c *cursor) payload(header valueHeader) []byte {
	n := min(header.payloadSize(), len(c.rest))
	b := c.rest[:n:n]
	c.rest = c.rest[n:]
	return b
}

// skip passes over the rest of the value with that header.
func (c *cursor) skip(header valueHeader) {
	c.payload(header)
	for range header.elements() {
		c.skip(c.header())
	}
}

// bytes reads the next value, and reports whether it is of that kind.
func (c *cursor) bytes(kind valueKind) ([]byte, bool) {
	header := c.header()
	if header.kind != kind {
		c.skip(header)
		return nil, false
	}
	return c.payload(header), true
}

// uint32 reads the header of the next value, and reports whether it is an integer of that range.
func (c *cursor) uint32() (uint32, bool) {
	header := c.header()
	ok := header.kind == valueInt && header.value >= 0 && header.value <= math.MaxUint32
	return uint32(header.value), ok
}

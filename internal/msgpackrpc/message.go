package msgpackrpc

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

// noParams is the paramCount of a message whose parameters are no array.
const noParams = -1

// message is one frame from a client. It refers to the bytes of the frame.
type message struct {
	kind       messageKind
	call       uint32 // of a request; chosen by the client
	method     []byte // nil where it is no string
	params     cursor
	paramCount int
}

// parseMessage takes a frame apart. Its errors are frameErrors; what is only wrong about a request is found later, so
// that it can be answered.
func parseMessage(frame []byte) (message, error) {
	msg := message{paramCount: noParams}
	parts := cursor{frame}
	list := parts.header()
	if list.kind != valueArray || list.length < notificationParts {
		return msg, frameErrorf("%w: want an array of 3 or 4", errNotRPCMessage)
	}
	if err := msg.readKind(&parts); err != nil {
		return msg, err
	}
	if want := msg.kind.parts(); list.length != want {
		return msg, frameErrorf("%w: %d parts instead of %d", errNotRPCMessage, list.length, want)
	}
	msg.method, _ = parts.bytes(valueString)
	if params := parts.header(); params.kind == valueArray {
		msg.paramCount = params.length
	}
	msg.params = parts
	return msg, nil
}

// parts returns how many parts a message of the kind has.
func (k messageKind) parts() int {
	if k == kindRequest {
		return requestParts
	}
	return notificationParts
}

// readKind reads the kind of a message, and the call of a request. Its errors are frameErrors.
func (m *message) readKind(parts *cursor) error {
	kind, ok := parts.uint32()
	switch {
	case ok && kind == uint32(kindRequest):
		m.kind = kindRequest
	case ok && kind == uint32(kindNotification):
		m.kind = kindNotification
		return nil
	default:
		return frameErrorf("%w: neither request nor notification", errNotRPCMessage)
	}
	if m.call, ok = parts.uint32(); !ok {
		return frameErrorf("%w: request without a call number", errNotRPCMessage)
	}
	return nil
}

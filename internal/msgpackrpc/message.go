package msgpackrpc

// messageKind is the type of a MessagePack-RPC message, with its value on the wire.
type messageKind byte

const (
	kindRequest      messageKind = 0
	kindResponse     messageKind = 1
	kindNotification messageKind = 2
)

// String returns the name of the message type.
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

// The reserved methods. Any other method of a request is the name of its class.
const (
	methodHealth  = "alive"
	methodCancel  = "cancelRequest"
	methodClosing = "closing"
)

// The number of elements of the array that a message consists of.
const (
	requestElements      = 4 // type, call, method, parameters; also in a response: type, call, error, result
	notificationElements = 3 // type, method, parameters
)

// paramsNotArray is the paramCount of a message whose parameters are not an array.
const paramsNotArray = -1

// message is one message from a client. Its fields refer to the bytes of the frame.
type message struct {
	kind       messageKind
	call       uint32 // call number chosen by the client; requests only
	method     []byte // nil: not a string
	params     cursor // at the first parameter
	paramCount int    // number of parameters, or paramsNotArray
}

// parseMessage parses the envelope of a message. Its errors are frameErrors. Faults in the method and the parameters of a
// request are left to parseRequest and parseHealthCheck, whose errors are sent to the client.
func parseMessage(frame []byte) (message, error) {
	msg := message{paramCount: paramsNotArray}
	parts := cursor{frame}
	list := parts.header()
	if list.kind != valueArray || list.length < notificationElements {
		return msg, frameErrorf("%w: want an array of 3 or 4 elements", errNotRPCMessage)
	}
	if err := msg.readKind(&parts); err != nil {
		return msg, err
	}
	if want := msg.kind.elements(); list.length != want {
		return msg, frameErrorf("%w: %v has %d elements, want %d", errNotRPCMessage, msg.kind, list.length, want)
	}
	msg.method, _ = parts.bytes(valueString)
	if params := parts.header(); params.kind == valueArray {
		msg.paramCount = params.length
	}
	msg.params = parts
	return msg, nil
}

// elements returns the number of elements that a message of this type has.
func (k messageKind) elements() int {
	if k == kindRequest {
		return requestElements
	}
	return notificationElements
}

// readKind reads the type of a message, and the call number of a request. Its errors are frameErrors.
func (m *message) readKind(parts *cursor) error {
	kind, ok := parts.uint32()
	switch {
	case ok && kind == uint32(kindRequest):
		m.kind = kindRequest
	case ok && kind == uint32(kindNotification):
		m.kind = kindNotification
		return nil
	default:
		return frameErrorf("%w: type is neither 0 (request) nor 2 (notification)", errNotRPCMessage)
	}
	if m.call, ok = parts.uint32(); !ok {
		return frameErrorf("%w: call number of a request is not an unsigned 32-bit integer", errNotRPCMessage)
	}
	return nil
}

// Package msgpackrpc serves clients over MessagePack-RPC on TCP. It contains the codec, the connections and their
// listener.
//
// Messages from a client:
//   - request [0, call, method, [fields, body]]; the method is the class of the request
//   - health check [0, call, "alive", [fields]]
//   - notification [2, method, params]; only "cancelRequest" has an effect
//
// Messages to a client:
//   - response [1, call, error, result]; the error is nil or [code, details], the result is nil or [value, {}]
//   - notification [2, "closing", []]: the client should send no new request on this connection
//
// Fields are a map of strings to strings. The client chooses the call number, which pairs a response with its request.
// A connection may have up to 32 open calls.
//
// A frame is limited to 8 KiB, 128 values and 6 levels of nesting. The limits are checked while the frame arrives, before
// memory is allocated for it. A malformed frame (*frameError) ends its connection once the requests read before it have
// been answered. A well-formed frame that holds an invalid request (*fieldError) is answered with the reason, and the
// connection stays open.
//
// Each connection has two goroutines: one reads messages and hands them to the server, the other writes queued messages.
// The event loop of the server calls the methods of server.Connection, none of which blocks.
package msgpackrpc

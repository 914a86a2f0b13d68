// Package msgpackrpc serves clients over MessagePack-RPC on TCP: the codec, the connections and their listener.
//
// A client sends requests [0, call, method, [fields, body]], health checks (method "alive") and notifications [2,
// method, params]; it is sent responses [1, call, error, result] and the notification "closing". Fields are a map of
// strings to strings. The call number, chosen by the client, pairs a response with its request; up to 32 calls may be
// open on one connection.
//
// A frame is bounded (8 KiB, 128 values, 6 levels of nesting) and is checked while it arrives, before memory is taken
// for it. A malformed frame (*frameError) ends its connection after the answers to what was read before. A request
// whose frame is sound but whose content is wrong (*fieldError) is answered with the reason, and the connection goes
// on.
//
// Each connection has two goroutines: one reads and hands requests to the server, the other writes what is queued.
// The server's loop calls the methods of server.Connection, none of which blocks.
package msgpackrpc

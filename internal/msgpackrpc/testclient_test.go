package msgpackrpc

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"falldeal/lab/loopback"

	"github.com/stretchr/testify/require"
)

// testClient is a client with one connection to the server.
type testClient struct {
	*testPeers
	netConn  net.Conn
	decoder  decoder
	lastCall uint32
}

// dial opens a client connection.
func (p *testPeers) dial() *testClient {
	netConn := loopback.Dial(p, p.addr)
	require.NoError(p, netConn.SetDeadline(time.Now().Add(testTimeout)))
	return &testClient{testPeers: p, netConn: netConn, decoder: decoder{source: bufio.NewReader(netConn)}}
}

func (c *testClient) write(b []byte) {
	_, err := c.netConn.Write(b)
	require.NoError(c, err)
}

const absentField = "\x00" // as the value of a field: leave the field out

// newRequest encodes a request with the sample fields, changed by changes (name, value, name, value, ...).
func (c *testClient) newRequest(method, body string, changes ...string) (id string, frame []byte) {
	c.attempts++
	c.lastCall++
	fields := sampleFields()
	delete(fields, "once")
	id = fmt.Sprintf("%016x", c.attempts)
	fields["id"], fields["wait"] = id, "600000"
	fields["at"] = strconv.FormatInt(time.Now().UnixMilli(), 10)
	for i := 0; i < len(changes); i += 2 {
		if fields[changes[i]] = changes[i+1]; changes[i+1] == absentField {
			delete(fields, changes[i])
		}
	}
	return id, encodeRequest(c.lastCall, method, fields, []byte(body))
}

// sendRequest writes a request and returns its ID.
func (c *testClient) sendRequest(method, body string, changes ...string) string {
	id, frame := c.newRequest(method, body, changes...)
	c.write(frame)
	return id
}

// requireType returns value, which must be of type T.
func requireType[T any](t require.TestingT, value any) T {
	typed, ok := value.(T)
	require.True(t, ok, "%T: %v", value, value)
	return typed
}

func (c *testClient) readMessage() arrayValue {
	c.Helper()
	value, err := c.decoder.next()
	require.NoError(c, err)
	return requireType[arrayValue](c, value)
}

// expectAnswer reads the next message, which must be the response to call. want is the body or the error code.
func (c *testClient) expectAnswer(call int, want string) {
	c.Helper()
	rpcError, result := c.readResponse(call)
	if rpcError != nil {
		require.Equal(c, want, requireType[arrayValue](c, rpcError)[0], "%v", rpcError)
		return
	}
	require.Equal(c, want, fmt.Sprintf("%s", requireType[arrayValue](c, result)[0]))
}

// expectHealthy reads the next message, which must be the response of a healthy server to a health check.
func (c *testClient) expectHealthy(call int) {
	c.Helper()
	rpcError, result := c.readResponse(call)
	require.Nil(c, rpcError)
	require.Equal(c, arrayValue{true, mapValue{}}, result)
}

// readResponse reads the next message, which must be the response to call, and returns its error and result.
func (c *testClient) readResponse(call int) (rpcError, result any) {
	c.Helper()
	list := c.readMessage()
	require.Len(c, list, 4)
	require.Equal(c, arrayValue{int64(kindResponse), int64(call)}, list[:2])
	return list[2], list[3]
}

// expectConnectionEnd requires that the server ends the connection.
func (c *testClient) expectConnectionEnd() {
	c.Helper()
	value, err := c.decoder.next()
	require.Error(c, err, "%v", value)
	require.NotErrorIs(c, err, os.ErrDeadlineExceeded)
}

// expectClosing reads the next message, which must be the "closing" notification.
func (c *testClient) expectClosing() {
	c.Helper()
	require.Equal(c, arrayValue{int64(kindNotification), methodClosing, arrayValue{}}, c.readMessage())
}

// isClosing sends a health check on a new connection. It returns true if "closing" arrives instead of a response.
func (c *testClient) isClosing() bool {
	c.write(encodeHealthCheck(1, nil))
	return c.readMessage()[0] == int64(kindNotification)
}

// sampleFields returns the fields of a valid request.
func sampleFields() map[string]string {
	return map[string]string{
		"id":   "9b1f03aa5c7e2d41",
		"at":   "1764576000123",
		"from": "4",
		"wait": "480",
		"cost": "12.50",
		"kb":   "24.5",
		"rank": "0.6250",
		"once": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
		"key":  "7f3a",
	}
}

// appendFields appends a map of strings to strings.
func appendFields(b []byte, fields map[string]string) []byte {
	b = appendMap(b, len(fields))
	for name, value := range fields {
		b = appendString(appendString(b, name), value)
	}
	return b
}

func encodeRequest(call uint32, method string, fields map[string]string, body []byte) []byte {
	b := appendUint(append(appendArray(nil, 4), byte(kindRequest)), call)
	b = appendFields(appendArray(appendString(b, method), 2), fields)
	return appendBinary(b, body)
}

func encodeHealthCheck(call uint32, fields map[string]string) []byte {
	b := appendUint(append(appendArray(nil, 4), byte(kindRequest)), call)
	return appendFields(appendArray(appendString(b, methodHealth), 1), fields)
}

// encodeCancel returns the notification that cancels a call.
func encodeCancel(call uint32) []byte {
	b := appendString(append(appendArray(nil, 3), byte(kindNotification)), methodCancel)
	return appendUint(appendArray(b, 1), call)
}

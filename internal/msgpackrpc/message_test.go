package msgpackrpc

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func mustParse(t *testing.T, b []byte) message {
	frame, err := readFrame(b, len(b))
	require.NoError(t, err)
	msg, err := parseMessage(frame)
	require.NoError(t, err)
	return msg
}

func decodeValue(b []byte) (any, error) {
	source := decoder{source: bufio.NewReader(bytes.NewReader(b))}
	return source.next()
}

// The reference decoder is compared with values of every format that were encoded by hand.
func TestReferenceDecoder(t *testing.T) {
	for encoded, want := range map[string]any{
		"\x07": int64(7), "\xff": int64(-1), "\xc0": nil, "\xc2": false, "\xc3": true,
		"\xcc\xff": int64(255), "\xcd\x01\x00": int64(256), "\xce\x00\x01\x00\x00": int64(65536),
		"\xcf\xff\xff\xff\xff\xff\xff\xff\xff": uint64(1<<64 - 1),
		"\xd0\x80":                             int64(-128), "\xd1\xff\x00": int64(-256), "\xd2\xff\xff\xff\xff": int64(-1),
		"\xd3\xff\xff\xff\xff\xff\xff\xff\xfe": int64(-2),
		"\xca\x3f\x80\x00\x00":                 1.0, "\xcb\x3f\xf0\x00\x00\x00\x00\x00\x00": 1.0,
		"\xa2hi": "hi", "\xd9\x02hi": "hi", "\xda\x00\x02hi": "hi", "\xdb\x00\x00\x00\x02hi": "hi",
		"\xc4\x01\x00": binaryValue{0}, "\xc5\x00\x01\x00": binaryValue{0}, "\xc6\x00\x00\x00\x01\x00": binaryValue{0},
		"\x92\x01\xc0": arrayValue{int64(1), nil}, "\xdc\x00\x01\x01": arrayValue{int64(1)},
		"\xdd\x00\x00\x00\x01\x01": arrayValue{int64(1)},
		"\x81\xa1a\x01":            mapValue{{"a", int64(1)}}, "\xde\x00\x01\xa1a\x01": mapValue{{"a", int64(1)}},
		"\xdf\x00\x00\x00\x01\xa1a\x01": mapValue{{"a", int64(1)}},
		"\xd4\x01\x00":                  extValue{}, "\xc7\x01\x05\x00": extValue{},
	} {
		value, err := decodeValue([]byte(encoded))
		require.NoError(t, err, "%q", encoded)
		require.Equal(t, want, value, "%q", encoded)
	}
}

func TestParseMessageRejectsMalformed(t *testing.T) {
	for _, frame := range []string{"\xc0", "\x01", "\x90", "\x94\x01\x02\xc0\xc0", "\x94\x00\xff\xa1x\x90",
		"\x93\x00\x01\xa1x",
		"\x94\x02\xa1x\x90\xc0", "\x94\xa10\x01\xa1x\x90", "\x94\x00\xcf\x00\x00\x01\x00\x00\x00\x00\x00\xa1x\x90",
		"\x94\x00\xcf\xff\xff\xff\xff\xff\xff\xff\xff\xa1x\x90", "\x95\x00\x01\xa1x\x90\xc0",
		"\x83\x00\x01\xa1x\x90\xc0\xc0"} {
		_, err := parseMessage([]byte(frame))
		require.ErrorIs(t, err, errNotRPCMessage, "%q", frame)
	}
}

// The in-place parser and the reference decoder, which builds each value as a tree, must accept the same input and
// decode it to the same values.
func FuzzMessages(f *testing.F) {
	f.Add(encodeRequest(7, "preview", sampleFields(), []byte("body")), 3)
	optional := sampleFields()
	for _, absent := range []string{"wait", "cost", "rank", "once", "key"} {
		delete(optional, absent)
	}
	optional["tenant"], optional["retry"] = "north", "1"
	f.Add(encodeRequest(7, "preview", optional, nil), 4)
	optional["tenant"] = strings.Repeat("t", maxKeyLength+1)
	f.Add(encodeRequest(7, "preview", optional, nil), 4)
	f.Add(append(encodeClosing(), "\xdf\xff\xff\xff\xff"...), 1)
	f.Add([]byte("\x94\x00\x01\xa5alive\x91\x81\xa4deep\xa11\x93\x02\xadcancelRequest\x91\x01"), 2)
	f.Add([]byte("\xd8\x01................\xc7\x01\x05\x00\xca\x3f\x80\x00\x00\xd3\xff\xff\xff\xff\xff\xff\xff\xfe"), 5)
	f.Fuzz(func(t *testing.T, b []byte, chunkSize int) {
		reference := decoder{source: bufio.NewReader(bytes.NewReader(b))}
		frames := frameReader{source: &chunkReader{b, max(chunkSize, 1)}}
		var methods methodCache
		for {
			value, referenceErr := reference.next()
			frame, err := frames.next()
			if (referenceErr == nil) != (err == nil) {
				t.Fatalf("error of the frame reader: %v; of the reference decoder: %v", err, referenceErr)
			}
			if err != nil {
				return
			}
			want, referenceErr := referenceParseMessage(value)
			msg, err := parseMessage(frame)
			if (referenceErr == nil) != (err == nil) {
				t.Fatalf("error of the parser: %v; of the reference parser: %v", err, referenceErr)
			}
			if err != nil {
				return
			}
			requireSameMessage(t, want, msg, &methods)
		}
	})
}

// requireSameMessage parses a message as a request, a health check and a cancellation with both parsers. Each time, both
// must reject it, or both must return the same values.
func requireSameMessage(t *testing.T, want referenceMessage, msg message, methods *methodCache) {
	t.Helper()
	require.Equal(t, want.method, string(msg.method))
	attempt, err := parseRequest(msg, methods)
	wantAttempt, referenceErr := referenceParseRequest(want)
	requireSameResult(t, wantAttempt, attempt, referenceErr, err)
	deep, err := parseHealthCheck(msg)
	wantDeep, referenceErr := referenceParseHealthCheck(want)
	requireSameResult(t, wantDeep, deep, referenceErr, err)
	id, ok := parseCancel(msg)
	wantID, wantOK := referenceParseCancel(want)
	require.Equal(t, wantOK, ok)
	if ok {
		require.Equal(t, wantID, id)
	}
}

// requireSameResult requires that both parsers returned an error or both returned the same value.
func requireSameResult[T any](t *testing.T, want, got T, wantErr, err error) {
	t.Helper()
	require.Equal(t, wantErr == nil, err == nil, "%v, %v", err, wantErr)
	if err == nil {
		require.Equal(t, want, got)
	}
}

// BenchmarkReadRequest compares the in-place parser with the reference parser.
func BenchmarkReadRequest(b *testing.B) {
	for _, body := range []int{0, 256, 1024, maxBody} {
		frame := encodeRequest(7, "preview", sampleFields(), make([]byte, body))
		b.Run(fmt.Sprintf("body=%d", body), func(b *testing.B) {
			b.ReportAllocs()
			frames := frameReader{source: &repeatingReader{frame: frame}}
			var methods methodCache
			for b.Loop() {
				frame, _ := frames.next()
				msg, _ := parseMessage(frame)
				if _, err := parseRequest(msg, &methods); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("reference/body=%d", body), func(b *testing.B) {
			b.ReportAllocs()
			reference := decoder{source: bufio.NewReader(&repeatingReader{frame: frame})}
			for b.Loop() {
				value, _ := reference.next()
				msg, _ := referenceParseMessage(value)
				if _, err := referenceParseRequest(msg); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// repeatingReader is a stream that repeats one frame. A read does not cross the end of the frame.
type repeatingReader struct {
	frame  []byte
	offset int
}

func (r *repeatingReader) Read(into []byte) (int, error) {
	n := copy(into, r.frame[r.offset:])
	r.offset = (r.offset + n) % len(r.frame)
	return n, nil
}

package msgpackrpc

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"falldeal/internal/server"

	"github.com/stretchr/testify/require"
)

func decodeValue(b []byte) (any, error) {
	source := decoder{source: bufio.NewReader(bytes.NewReader(b))}
	return source.next()
}

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

// What claims to be larger than any frame must end the connection before memory is taken for it.
func TestOversizedFramesAreRejected(t *testing.T) {
	for _, encoded := range []string{"\xc1", "\xdd\xff\xff\xff\xff", "\xdf\xff\xff\xff\xff",
		"\xc6\xff\xff\xff\xff", "\xdb\x7f\xff\xff\xff", "\xde\xff\xff", "\xc9\xff\xff\xff\xff", strings.Repeat("\x91", maxDepth+2),
		"\xdc\x10\x00" + strings.Repeat("\xc0", 1<<12), "\xc5\xff\xff" + strings.Repeat("x", 1<<16),
		"\xdc\x00\x80" + strings.Repeat("\xc0", 128)} {
		for _, piece := range []int{1, 7, len(encoded)} {
			frames := frameReader{source: &chunkReader{[]byte(encoded), piece}}
			_, err := frames.next()
			require.Error(t, err, "%.20q", encoded)
			require.NotErrorIs(t, err, io.EOF, "%.20q", encoded) // but before its end
			require.LessOrEqual(t, len(frames.buf), maxBufferSize)
		}
	}
	for _, encoded := range []string{"", "\x92\x01", "\xa2h", "\xcd\x01", "\xda\x00", "\xd4\x01"} {
		_, err := readFrame([]byte(encoded), 1)
		require.ErrorIs(t, err, io.EOF, "%q", encoded)
	}
	deepest := strings.Repeat("\x91", maxDepth) + "\x90"
	_, err := readFrame([]byte(deepest), 1)
	require.NoError(t, err)
}

// sampleFields are those of a good request.
func sampleFields() map[string]string {
	return map[string]string{"id": "9b1f03aa5c7e2d41", "at": "1764576000123", "from": "4", "wait": "480",
		"cost": "12.50", "kb": "24.5", "rank": "0.6250", "once": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "key": "7f3a"}
}

func appendFields(b []byte, fields map[string]string) []byte {
	b = appendMap(b, len(fields))
	for name, value := range fields {
		b = appendString(appendString(b, name), value)
	}
	return b
}

func appendRequest(id uint32, method string, fields map[string]string, body []byte) []byte {
	b := appendUint(append(appendArray(nil, 4), kindRequest), id)
	b = appendFields(appendArray(appendString(b, method), 2), fields)
	return appendBinary(b, body)
}

// readFrame reads a frame that arrives in pieces of that many bytes.
func readFrame(b []byte, piece int) ([]byte, error) {
	frames := frameReader{source: &chunkReader{b, piece}}
	return frames.next()
}

// chunkReader is a stream that yields a few bytes at a time.
type chunkReader struct {
	data      []byte
	chunkSize int
}

func (p *chunkReader) Read(into []byte) (int, error) {
	if len(p.data) == 0 {
		return 0, io.EOF
	}
	n := copy(into[:min(p.chunkSize, len(into))], p.data)
	p.data = p.data[n:]
	return n, nil
}

func mustParse(t *testing.T, b []byte) message {
	frame, err := readFrame(b, len(b))
	require.NoError(t, err)
	msg, err := parseMessage(frame)
	require.NoError(t, err)
	return msg
}

func TestParseRequest(t *testing.T) {
	got, err := parseRequest(mustParse(t, appendRequest(7, "preview", sampleFields(), []byte{0, 255})), &methodCache{})
	require.NoError(t, err)
	require.Equal(t, server.Attempt{ID: "9b1f03aa5c7e2d41", IdempotencyKey: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", Subject: "7f3a",
		Class: "preview", ArrivedAt: 1764576000123 * time.Millisecond, Timeout: 480 * time.Millisecond, Client: 4,
		CostHint: 12500 * time.Microsecond, MemoryKB: 24.5, Rank: 0.625, Body: []byte{0, 255}}, got)
}

// A wrong request gets an answer that names the field, so that whoever sent it can find the fault.
func TestParseRequestNamesTheField(t *testing.T) {
	for name, bad := range map[string][]string{
		"id": {"", "9b1f", "9b1f03aa5c7e2d4g", "9b1f03aa5c7e2d41\r\n"}, "at": {"", "-1", "x", "99999999999999999999"},
		"from": {"", "-1"}, "wait": {"", "-5", "1e3", "99999999999"}, "cost": {"", "-1", "nan", "inf"},
		"kb": {"0", "2000", "", "nan"}, "rank": {"1", "-0.1", ""}, "once": {"", "x"},
		"key": {strings.Repeat("k", maxKeyLength+1)},
	} {
		for _, value := range bad {
			fields := sampleFields()
			fields[name] = value
			_, err := parseRequest(mustParse(t, appendRequest(7, "preview", fields, nil)), &methodCache{})
			require.ErrorContains(t, err, "field "+name, "%q", value)
		}
	}
	for _, test := range []struct{ want, frame string }{
		{"body", string(appendRequest(7, "preview", sampleFields(), make([]byte, maxBody+1)))},
		{"body", "\x94\x00\x07\xa1x" + "\x92" + string(appendFields(nil, sampleFields())) + "\xa1b"},
		{"fields", "\x94\x00\x07\xa1x\x92\x01\xc4\x00"},
		{"field id", "\x94\x00\x07\xa1x\x92\x81\xa2id\x01\xc4\x00"},
		{"field ", "\x94\x00\x07\xa1x\x92\x81\x01\xa2id\xc4\x00"},
		{"parameters", "\x94\x00\x07\xa1x\x91\x80"},
		{"parameters", "\x94\x00\x07\xa1x\xc0"},
		{"method", "\x94\x00\x07\xc0\x92\x80\xc4\x00"},
		{"method", "\x94\x00\x07\xa0\x92\x80\xc4\x00"},
	} {
		_, err := parseRequest(mustParse(t, []byte(test.frame)), &methodCache{})
		require.ErrorContains(t, err, test.want, "%q", test.frame)
	}
}

// What a front end sends twice under one name counts as it was last sent; names without a meaning are passed over.
func TestLastValueOfAFieldCounts(t *testing.T) {
	b := append([]byte("\x94\x00\x07\xa7preview\x92\x8b"), appendFields(nil, sampleFields())[1:]...)
	b = append(b, "\xa4rank\xa30.5\xa5other\xa1x\xc4\x00"...)
	attempt, err := parseRequest(mustParse(t, b), &methodCache{})
	require.NoError(t, err)
	require.Equal(t, 0.5, attempt.Rank)
	require.Empty(t, attempt.Body)
}

func TestParseMessageRejectsMalformed(t *testing.T) {
	for _, frame := range []string{"\xc0", "\x01", "\x90", "\x94\x01\x02\xc0\xc0", "\x94\x00\xff\xa1x\x90", "\x93\x00\x01\xa1x",
		"\x94\x02\xa1x\x90\xc0", "\x94\xa10\x01\xa1x\x90", "\x94\x00\xcf\x00\x00\x01\x00\x00\x00\x00\x00\xa1x\x90",
		"\x94\x00\xcf\xff\xff\xff\xff\xff\xff\xff\xff\xa1x\x90", "\x95\x00\x01\xa1x\x90\xc0", "\x83\x00\x01\xa1x\x90\xc0\xc0"} {
		_, err := parseMessage([]byte(frame))
		require.ErrorIs(t, err, errNotRPCMessage, "%q", frame)
	}
}

// A frame is found however its bytes are cut, and what follows it is kept.
func TestFramesSplitAcrossReads(t *testing.T) {
	small, large := appendRequest(7, "preview", sampleFields(), []byte("body")), appendRequest(8, "preview", sampleFields(), make([]byte, maxBody))
	stream := append(append(append([]byte{}, small...), large...), small...)
	for piece := 1; piece <= len(stream); piece++ {
		var partials []bool
		frames := frameReader{source: &chunkReader{append([]byte{}, stream...), piece}, onPartial: func(partial bool) error { partials = append(partials, partial); return nil }}
		for i, want := range [][]byte{small, large, small} {
			got, err := frames.next()
			require.NoError(t, err, "piece %d, frame %d", piece, i)
			require.Equal(t, want, got, "piece %d, frame %d", piece, i)
		}
		_, err := frames.next()
		require.ErrorIs(t, err, io.EOF)
		for i, partial := range partials {
			require.Equal(t, i%2 == 0, partial) // told to wait and not to wait, in turn
		}
	}
}

// Between messages a connection keeps a small buffer, whatever came on it: hundreds of idle ones share 32 MB.
func TestIdleConnectionsUseSmallBuffers(t *testing.T) {
	largeFrame := appendBinary(nil, make([]byte, maxFrame-3))
	frames := frameReader{source: &chunkReader{largeFrame, 100}}
	_, err := frames.next()
	require.NoError(t, err)
	_, err = frames.next()
	require.ErrorIs(t, err, io.EOF)
	require.LessOrEqual(t, len(frames.buf), maxIdleBufferSize)
}

func TestEncodeAnswer(t *testing.T) {
	long := bytes.Repeat([]byte{1}, 300)
	for _, test := range []struct {
		a    server.Answer
		want arrayValue
	}{
		{server.Answer{Kind: server.Served, Body: long}, arrayValue{nil, arrayValue{binaryValue(long), mapValue{}}}},
		{server.Answer{Kind: server.Healthy}, arrayValue{nil, arrayValue{true, mapValue{}}}},
		{server.Answer{Kind: server.Unhealthy}, arrayValue{nil, arrayValue{false, mapValue{}}}},
		{server.Answer{Kind: server.Failed}, arrayValue{arrayValue{codeInternal, mapValue{}}, nil}},
		{server.Answer{Kind: server.Rejected}, arrayValue{arrayValue{codeOverloaded, mapValue{}}, nil}},
		{server.Answer{Kind: server.Rejected, RetryAfter: 250 * time.Millisecond},
			arrayValue{arrayValue{codeOverloaded, mapValue{{"after", "250"}}}, nil}},
		{server.Answer{Kind: server.Rejected, NoRetryElsewhere: true}, arrayValue{arrayValue{codeOverloaded, mapValue{{"last", "1"}}}, nil}},
		{server.Answer{Kind: server.Invalid, Reason: "field id"},
			arrayValue{arrayValue{codeInvalid, mapValue{{"reason", "field id"}}}, nil}},
	} {
		value, err := decodeValue(encodeAnswer(70000, test.a))
		require.NoError(t, err)
		require.Equal(t, append(arrayValue{int64(kindResponse), int64(70000)}, test.want...), value)
	}
	value, err := decodeValue(encodeClosing())
	require.NoError(t, err)
	require.Equal(t, arrayValue{int64(kindNotification), methodClosing, arrayValue{}}, value)
}

// The frames and fields that are read in place are those that the plain decoder finds, which builds each value as
// a tree: what one takes the other takes, with the same meaning.
func FuzzMessages(f *testing.F) {
	f.Add(appendRequest(7, "preview", sampleFields(), []byte("body")), 3)
	f.Add(append(encodeClosing(), "\xdf\xff\xff\xff\xff"...), 1)
	f.Add([]byte("\x94\x00\x01\xa5alive\x91\x81\xa4deep\xa11\x93\x02\xadcancelRequest\x91\x01"), 2)
	f.Add([]byte("\xd8\x01................\xc7\x01\x05\x00\xca\x3f\x80\x00\x00\xd3\xff\xff\xff\xff\xff\xff\xff\xfe"), 5)
	f.Fuzz(func(t *testing.T, b []byte, piece int) {
		reference := decoder{source: bufio.NewReader(bytes.NewReader(b))}
		frames := frameReader{source: &chunkReader{b, max(piece, 1)}}
		var methods methodCache
		for {
			value, referenceErr := reference.next()
			frame, err := frames.next()
			if (referenceErr == nil) != (err == nil) {
				t.Fatalf("%v, and by the plain decoder %v", err, referenceErr)
			}
			if err != nil {
				return
			}
			want, referenceErr := referenceParseMessage(value)
			msg, err := parseMessage(frame)
			if (referenceErr == nil) != (err == nil) {
				t.Fatalf("%v, and by the plain parser %v", err, referenceErr)
			}
			if err != nil {
				return
			}
			require.Equal(t, want.method, string(msg.method))
			attempt, err := parseRequest(msg, &methods)
			wantAttempt, referenceErr := referenceParseRequest(want)
			require.Equal(t, referenceErr == nil, err == nil, "%v, %v", err, referenceErr)
			if err == nil {
				require.Equal(t, wantAttempt, attempt)
			}
			deep, err := parseHealthCheck(msg)
			wantDeep, referenceErr := referenceParseHealthCheck(want)
			require.Equal(t, referenceErr == nil, err == nil, "%v, %v", err, referenceErr)
			if err == nil {
				require.Equal(t, wantDeep, deep)
			}
			id, ok := parseCancel(msg)
			wantID, wantOK := referenceParseCancel(want)
			require.Equal(t, wantOK, ok)
			if ok {
				require.Equal(t, wantID, id)
			}
		}
	})
}

func BenchmarkReadRequest(b *testing.B) {
	for _, body := range []int{0, 256, 1024, maxBody} {
		frame := appendRequest(7, "preview", sampleFields(), make([]byte, body))
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
		b.Run(fmt.Sprintf("plain/body=%d", body), func(b *testing.B) {
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

func BenchmarkEncodeAnswer(b *testing.B) {
	for _, body := range []int{0, 1024, 4096} {
		b.Run(fmt.Sprintf("body=%d", body), func(b *testing.B) {
			b.ReportAllocs()
			answer := server.Answer{Kind: server.Served, Body: make([]byte, body)}
			for b.Loop() {
				encodeAnswer(7, answer)
			}
		})
	}
}

// repeatingReader is a stream of one frame again and again, one a read.
type repeatingReader struct {
	frame  []byte
	offset int
}

func (r *repeatingReader) Read(into []byte) (int, error) {
	n := copy(into, r.frame[r.offset:])
	r.offset = (r.offset + n) % len(r.frame)
	return n, nil
}

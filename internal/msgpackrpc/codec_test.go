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

func decode(b []byte) (any, error) {
	d := decoder{in: bufio.NewReader(bytes.NewReader(b))}
	return d.next()
}

func TestDecode(t *testing.T) {
	for in, want := range map[string]any{
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
		v, err := decode([]byte(in))
		require.NoError(t, err, "%q", in)
		require.Equal(t, want, v, "%q", in)
	}
}

// What claims to be larger than any frame must end the connection before memory is taken for it.
func TestFramesRefused(t *testing.T) {
	for _, in := range []string{"\xc1", "\xdd\xff\xff\xff\xff", "\xdf\xff\xff\xff\xff",
		"\xc6\xff\xff\xff\xff", "\xdb\x7f\xff\xff\xff", "\xde\xff\xff", "\xc9\xff\xff\xff\xff", strings.Repeat("\x91", maxDepth+2),
		"\xdc\x10\x00" + strings.Repeat("\xc0", 1<<12), "\xc5\xff\xff" + strings.Repeat("x", 1<<16),
		"\xdc\x00\x80" + strings.Repeat("\xc0", 128)} {
		for _, piece := range []int{1, 7, len(in)} {
			f := frames{from: &pieces{[]byte(in), piece}}
			_, err := f.next()
			require.Error(t, err, "%.20q", in)
			require.NotErrorIs(t, err, io.EOF, "%.20q", in) // but before its end
			require.LessOrEqual(t, len(f.buf), bufferMost)
		}
	}
	for _, in := range []string{"", "\x92\x01", "\xa2h", "\xcd\x01", "\xda\x00", "\xd4\x01"} {
		_, err := frameOf([]byte(in), 1)
		require.ErrorIs(t, err, io.EOF, "%q", in)
	}
	deepest := strings.Repeat("\x91", maxDepth) + "\x90"
	_, err := frameOf([]byte(deepest), 1)
	require.NoError(t, err)
}

// sampleFields are those of a good request.
func sampleFields() map[string]string {
	return map[string]string{"id": "9b1f03aa5c7e2d41", "at": "1764576000123", "from": "4", "wait": "480",
		"cost": "12.50", "kb": "24.5", "rank": "0.6250", "once": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", "key": "7f3a"}
}

func appendFields(b []byte, f map[string]string) []byte {
	b = appendMap(b, len(f))
	for k, v := range f {
		b = appendText(appendText(b, k), v)
	}
	return b
}

func appendRequest(id uint32, method string, f map[string]string, body []byte) []byte {
	b := appendUint(append(appendArray(nil, 4), kindRequest), id)
	b = appendFields(appendArray(appendText(b, method), 2), f)
	return appendBinary(b, body)
}

// frameOf reads a frame that arrives in pieces of that many bytes.
func frameOf(b []byte, piece int) ([]byte, error) {
	f := frames{from: &pieces{b, piece}}
	return f.next()
}

// pieces is a stream that yields a few bytes at a time.
type pieces struct {
	b    []byte
	most int
}

func (p *pieces) Read(into []byte) (int, error) {
	if len(p.b) == 0 {
		return 0, io.EOF
	}
	n := copy(into[:min(p.most, len(into))], p.b)
	p.b = p.b[n:]
	return n, nil
}

func parse(t *testing.T, b []byte) message {
	frame, err := frameOf(b, len(b))
	require.NoError(t, err)
	m, err := parseMessage(frame)
	require.NoError(t, err)
	return m
}

func TestParseTry(t *testing.T) {
	got, err := parseTry(parse(t, appendRequest(7, "preview", sampleFields(), []byte{0, 255})), &names{})
	require.NoError(t, err)
	require.Equal(t, server.Attempt{ID: "9b1f03aa5c7e2d41", IdempotencyKey: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", Subject: "7f3a",
		Class: "preview", ArrivedAt: 1764576000123 * time.Millisecond, Timeout: 480 * time.Millisecond, Client: 4,
		CostHint: 12500 * time.Microsecond, MemoryKB: 24.5, Rank: 0.625, Body: []byte{0, 255}}, got)
}

// A wrong request gets an answer that names the field, so that whoever sent it can find the fault.
func TestParseTryNamesTheField(t *testing.T) {
	for name, bad := range map[string][]string{
		"id": {"", "9b1f", "9b1f03aa5c7e2d4g", "9b1f03aa5c7e2d41\r\n"}, "at": {"", "-1", "x", "99999999999999999999"},
		"from": {"", "-1"}, "wait": {"", "-5", "1e3", "99999999999"}, "cost": {"", "-1", "nan", "inf"},
		"kb": {"0", "2000", "", "nan"}, "rank": {"1", "-0.1", ""}, "once": {"", "x"},
		"key": {strings.Repeat("k", maxText+1)},
	} {
		for _, value := range bad {
			f := sampleFields()
			f[name] = value
			_, err := parseTry(parse(t, appendRequest(7, "preview", f, nil)), &names{})
			require.ErrorContains(t, err, "field "+name, "%q", value)
		}
	}
	for _, c := range []struct{ want, frame string }{
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
		_, err := parseTry(parse(t, []byte(c.frame)), &names{})
		require.ErrorContains(t, err, c.want, "%q", c.frame)
	}
}

// What a front end sends twice under one name counts as it was last sent; names without a meaning are passed over.
func TestFieldsOfOneName(t *testing.T) {
	b := append([]byte("\x94\x00\x07\xa7preview\x92\x8b"), appendFields(nil, sampleFields())[1:]...)
	b = append(b, "\xa4rank\xa30.5\xa5other\xa1x\xc4\x00"...)
	try, err := parseTry(parse(t, b), &names{})
	require.NoError(t, err)
	require.Equal(t, 0.5, try.Rank)
	require.Empty(t, try.Body)
}

func TestParseMessageRefuses(t *testing.T) {
	for _, frame := range []string{"\xc0", "\x01", "\x90", "\x94\x01\x02\xc0\xc0", "\x94\x00\xff\xa1x\x90", "\x93\x00\x01\xa1x",
		"\x94\x02\xa1x\x90\xc0", "\x94\xa10\x01\xa1x\x90", "\x94\x00\xcf\x00\x00\x01\x00\x00\x00\x00\x00\xa1x\x90",
		"\x94\x00\xcf\xff\xff\xff\xff\xff\xff\xff\xff\xa1x\x90", "\x95\x00\x01\xa1x\x90\xc0", "\x83\x00\x01\xa1x\x90\xc0\xc0"} {
		_, err := parseMessage([]byte(frame))
		require.ErrorIs(t, err, errBroken, "%q", frame)
	}
}

// A frame is found however its bytes are cut, and what follows it is kept.
func TestFramesInPieces(t *testing.T) {
	one, large := appendRequest(7, "preview", sampleFields(), []byte("body")), appendRequest(8, "preview", sampleFields(), make([]byte, maxBody))
	stream := append(append(append([]byte{}, one...), large...), one...)
	for piece := 1; piece <= len(stream); piece++ {
		var waits []bool
		f := frames{from: &pieces{append([]byte{}, stream...), piece}, begun: func(on bool) error { waits = append(waits, on); return nil }}
		for i, want := range [][]byte{one, large, one} {
			got, err := f.next()
			require.NoError(t, err, "piece %d, frame %d", piece, i)
			require.Equal(t, want, got, "piece %d, frame %d", piece, i)
		}
		_, err := f.next()
		require.ErrorIs(t, err, io.EOF)
		for i, on := range waits {
			require.Equal(t, i%2 == 0, on) // told to wait and not to wait, in turn
		}
	}
}

// Between messages a connection keeps a small buffer, whatever came on it: hundreds of idle ones share 32 MB.
func TestIdleConnectionsKeepLittle(t *testing.T) {
	large := appendBinary(nil, make([]byte, maxFrame-3))
	f := frames{from: &pieces{large, 100}}
	_, err := f.next()
	require.NoError(t, err)
	_, err = f.next()
	require.ErrorIs(t, err, io.EOF)
	require.LessOrEqual(t, len(f.buf), bufferKept)
}

func TestAppendAnswer(t *testing.T) {
	long := bytes.Repeat([]byte{1}, 300)
	for _, c := range []struct {
		a    server.Answer
		want arrayValue
	}{
		{server.Answer{Kind: server.Served, Body: long}, arrayValue{nil, arrayValue{binaryValue(long), mapValue{}}}},
		{server.Answer{Kind: server.Healthy}, arrayValue{nil, arrayValue{true, mapValue{}}}},
		{server.Answer{Kind: server.Unhealthy}, arrayValue{nil, arrayValue{false, mapValue{}}}},
		{server.Answer{Kind: server.Failed}, arrayValue{arrayValue{errFailed, mapValue{}}, nil}},
		{server.Answer{Kind: server.Rejected}, arrayValue{arrayValue{errRefused, mapValue{}}, nil}},
		{server.Answer{Kind: server.Rejected, RetryAfter: 250 * time.Millisecond},
			arrayValue{arrayValue{errRefused, mapValue{{"after", "250"}}}, nil}},
		{server.Answer{Kind: server.Rejected, NoRetryElsewhere: true}, arrayValue{arrayValue{errRefused, mapValue{{"last", "1"}}}, nil}},
		{server.Answer{Kind: server.Invalid, Reason: "field id"},
			arrayValue{arrayValue{errInvalid, mapValue{{"reason", "field id"}}}, nil}},
	} {
		v, err := decode(appendAnswer(nil, 70000, c.a))
		require.NoError(t, err)
		require.Equal(t, append(arrayValue{int64(kindAnswer), int64(70000)}, c.want...), v)
	}
	v, err := decode(appendClosing(nil))
	require.NoError(t, err)
	require.Equal(t, arrayValue{int64(kindNotification), methodClosing, arrayValue{}}, v)
}

// The frames and fields that are read in place are those that the plain decoder finds, which builds each value as
// a tree: what one takes the other takes, with the same meaning.
func FuzzMessages(f *testing.F) {
	f.Add(appendRequest(7, "preview", sampleFields(), []byte("body")), 3)
	f.Add(append(appendClosing(nil), "\xdf\xff\xff\xff\xff"...), 1)
	f.Add([]byte("\x94\x00\x01\xa5alive\x91\x81\xa4deep\xa11\x93\x02\xadcancelRequest\x91\x01"), 2)
	f.Add([]byte("\xd8\x01................\xc7\x01\x05\x00\xca\x3f\x80\x00\x00\xd3\xff\xff\xff\xff\xff\xff\xff\xfe"), 5)
	f.Fuzz(func(t *testing.T, b []byte, piece int) {
		plain := decoder{in: bufio.NewReader(bytes.NewReader(b))}
		in := frames{from: &pieces{b, max(piece, 1)}}
		var known names
		for {
			v, plainErr := plain.next()
			frame, err := in.next()
			if (plainErr == nil) != (err == nil) {
				t.Fatalf("%v, and by the plain decoder %v", err, plainErr)
			}
			if err != nil {
				return
			}
			want, plainErr := plainParseMessage(v)
			m, err := parseMessage(frame)
			if (plainErr == nil) != (err == nil) {
				t.Fatalf("%v, and by the plain parser %v", err, plainErr)
			}
			if err != nil {
				return
			}
			require.Equal(t, want.method, string(m.method))
			try, err := parseTry(m, &known)
			wantTry, plainErr := plainParseTry(want)
			require.Equal(t, plainErr == nil, err == nil, "%v, %v", err, plainErr)
			if err == nil {
				require.Equal(t, wantTry, try)
			}
			deep, err := parseProbe(m)
			wantDeep, plainErr := plainParseProbe(want)
			require.Equal(t, plainErr == nil, err == nil, "%v, %v", err, plainErr)
			if err == nil {
				require.Equal(t, wantDeep, deep)
			}
			id, ok := parseCancel(m)
			wantID, wantOK := plainParseCancel(want)
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
			in := frames{from: &repeated{frame: frame}}
			var known names
			for b.Loop() {
				f, _ := in.next()
				m, _ := parseMessage(f)
				if _, err := parseTry(m, &known); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("plain/body=%d", body), func(b *testing.B) {
			b.ReportAllocs()
			d := decoder{in: bufio.NewReader(&repeated{frame: frame})}
			for b.Loop() {
				v, _ := d.next()
				m, _ := plainParseMessage(v)
				if _, err := plainParseTry(m); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkAppendAnswer(b *testing.B) {
	for _, body := range []int{0, 1024, 4096} {
		b.Run(fmt.Sprintf("body=%d", body), func(b *testing.B) {
			b.ReportAllocs()
			a := server.Answer{Kind: server.Served, Body: make([]byte, body)}
			for b.Loop() {
				appendAnswer(nil, 7, a)
			}
		})
	}
}

// repeated is a stream of one frame again and again, one a read.
type repeated struct {
	frame []byte
	at    int
}

func (r *repeated) Read(into []byte) (int, error) {
	n := copy(into, r.frame[r.at:])
	r.at = (r.at + n) % len(r.frame)
	return n, nil
}

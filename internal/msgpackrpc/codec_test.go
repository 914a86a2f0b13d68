package msgpackrpc

import (
	"bufio"
	"bytes"
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
func TestDecodeRefuses(t *testing.T) {
	for _, in := range []string{"", "\xc1", "\x92\x01", "\xa2h", "\xdd\xff\xff\xff\xff", "\xdf\xff\xff\xff\xff",
		"\xc6\xff\xff\xff\xff", "\xdb\x7f\xff\xff\xff", "\xde\xff\xff", strings.Repeat("\x91", maxDepth+2),
		"\xdc\x10\x00" + strings.Repeat("\xc0", 1<<12), "\xc5\xff\xff" + strings.Repeat("x", 1<<16)} {
		_, err := decode([]byte(in))
		require.Error(t, err, "%.20q", in)
	}
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

func parse(t *testing.T, b []byte) message {
	v, err := decode(b)
	require.NoError(t, err)
	m, err := parseMessage(v)
	require.NoError(t, err)
	return m
}

func TestParseTry(t *testing.T) {
	got, err := parseTry(parse(t, appendRequest(7, "preview", sampleFields(), []byte{0, 255})))
	require.NoError(t, err)
	require.Equal(t, server.Try{ID: "9b1f03aa5c7e2d41", Once: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", Key: "7f3a",
		Class: "preview", At: 1764576000123 * time.Millisecond, Wait: 480 * time.Millisecond, Caller: 4,
		Cost: 12500 * time.Microsecond, KB: 24.5, Rank: 0.625, Body: []byte{0, 255}}, got)
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
			_, err := parseTry(parse(t, appendRequest(7, "preview", f, nil)))
			require.ErrorContains(t, err, "field "+name, "%q", value)
		}
	}
	_, err := parseTry(parse(t, appendRequest(7, "preview", sampleFields(), make([]byte, maxBody+1))))
	require.ErrorContains(t, err, "body")
	_, err = parseTry(message{method: "preview", params: arrayValue{int64(1), binaryValue{}}})
	require.ErrorContains(t, err, "fields")
	_, err = parseTry(message{method: "preview", params: arrayValue{mapValue{{"id", int64(1)}}, binaryValue{}}})
	require.ErrorContains(t, err, "field id")
	_, err = parseTry(message{method: "preview"})
	require.ErrorContains(t, err, "parameters")
	_, err = parseTry(message{})
	require.ErrorContains(t, err, "method")
}

func TestParseMessageRefuses(t *testing.T) {
	for _, v := range []any{nil, int64(1), arrayValue{}, arrayValue{int64(1), int64(2), nil, nil},
		arrayValue{int64(0), int64(-1), "preview", arrayValue{}}, arrayValue{int64(0), int64(1), "preview"},
		arrayValue{int64(2), "x", arrayValue{}, nil}, arrayValue{"0", int64(1), "preview", arrayValue{}},
		arrayValue{int64(0), int64(1) << 40, "preview", arrayValue{}}} {
		_, err := parseMessage(v)
		require.ErrorIs(t, err, errBroken, "%v", v)
	}
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
		{server.Answer{Kind: server.Refused}, arrayValue{arrayValue{errRefused, mapValue{}}, nil}},
		{server.Answer{Kind: server.Refused, After: 250 * time.Millisecond},
			arrayValue{arrayValue{errRefused, mapValue{{"after", "250"}}}, nil}},
		{server.Answer{Kind: server.Refused, Last: true}, arrayValue{arrayValue{errRefused, mapValue{{"last", "1"}}}, nil}},
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

func FuzzMessages(f *testing.F) {
	f.Add(appendRequest(7, "preview", sampleFields(), []byte("body")))
	f.Add(append(appendClosing(nil), "\xdf\xff\xff\xff\xff"...))
	f.Fuzz(func(t *testing.T, b []byte) {
		d := decoder{in: bufio.NewReader(bytes.NewReader(b))}
		for {
			v, err := d.next()
			if err != nil {
				return
			}
			m, err := parseMessage(v)
			if err != nil {
				return
			}
			if try, err := parseTry(m); err == nil && (len(try.ID) != idDigits || try.Wait < 0 || !(try.KB > 0)) {
				t.Errorf("read %+v", try)
			}
			_, _ = parseProbe(m)
			_, _ = parseCancel(m)
		}
	})
}

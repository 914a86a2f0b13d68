package jsonlines

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"
)

type message struct {
	name string
	data []byte
}

var errNameless = errors.New(`no field "name" in message`)

func decodeMessage(object *fastjson.Value) (message, error) {
	name := Text(object, "name")
	if name == "" {
		return message{}, errNameless
	}
	data, err := Base64(object, "data")
	return message{name, data}, err
}

func line(name string, data []byte) string {
	return string(append(AppendBase64([]byte(`{"name":"`+name+`"`), "data", data), "}\n"...))
}

// A message must be read as it was written, and must not refer to the memory of its line, which is reused.
func TestMessageRoundTrip(t *testing.T) {
	require.Equal(t, `,"data":"AP8KIg=="`, string(AppendBase64(nil, "data", []byte("\x00\xff\n\""))))
	var got []message
	input := strings.NewReader(line("a", []byte("\x00\xff\n\"")) + line("b", []byte("x")) + "\n" + line("c", nil))
	err := NewParser(decodeMessage).ReadEach(input, func(m message) { got = append(got, m) })
	require.Equal(t, []message{{"a", []byte("\x00\xff\n\"")}, {"b", []byte("x")}}, got)
	var invalid *LineError
	require.ErrorAs(t, err, &invalid) // the empty line
}

// An invalid line must be distinguishable from the end of the stream, and its error must say what is wrong with it.
func TestLineErrors(t *testing.T) {
	parser := NewParser(decodeMessage)
	for input, want := range map[string]error{"{}\n": errNameless, "": io.EOF, `{"name":"a"}`: io.EOF,
		`{"name":"` + strings.Repeat("a", MaxLineLength): bufio.ErrBufferFull} {
		err := parser.ReadEach(strings.NewReader(input), func(message) { t.Fatal("a message was read from invalid input") })
		require.ErrorIs(t, err, want, "%.40q", input)
		var invalid *LineError
		require.Equal(t, errors.Is(want, errNameless), errors.As(err, &invalid), "%.40q", input)
	}
	_, err := parser.Parse([]byte("{}"))
	require.EqualError(t, err, `no field "name" in message`)
	_, err = parser.Parse([]byte(`{"name":"a","data":"%"}`))
	require.EqualError(t, err, "data: illegal base64 data at input byte 0")
}

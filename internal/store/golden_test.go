package store

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"falldeal/internal/deadline"
	"falldeal/internal/logging"
	"falldeal/internal/writequeue"
	"falldeal/lab/golden"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

const (
	goldenRequest = "9b1f03aa5c7e2d41"
	goldenOther   = "00000000000000aa"
)

// Every command as a Link writes it, quoted as a Go string. The third call is on another connection, as the first one has
// answered a call of the same request.
func TestGoldenCalls(t *testing.T) {
	log, _ := test.NewNullLogger()
	loop := Loop{Post: func(do func()) { do() }, Now: func() time.Duration { return time.Second }, Deadlines: deadline.New()}
	link := New(Config{Address: "store:1", MaxConnections: 1, Seed: 1}, loop, func(string, Result, []byte) {}, logging.NewLimiter(log))
	var queue *writequeue.Queue
	var remote net.Conn
	writerDone := make(chan error, 2)
	connect := func() {
		var local net.Conn
		local, remote = net.Pipe()
		queue = writequeue.New(local, writeQueueSize)
		go func(queue *writequeue.Queue) { writerDone <- queue.Run() }(queue)
		link.handleOpened(<-link.dialer.requests, queue)
	}
	requireEnd := func() {
		t.Helper()
		rest, err := io.ReadAll(remote)
		require.NoError(t, err)
		require.Empty(t, rest)
		require.NoError(t, <-writerDone)
	}
	var cases []golden.Case
	written := func(name string) {
		t.Helper()
		text := make([]byte, 1<<10)
		n, err := remote.Read(text)
		require.NoError(t, err)
		cases = append(cases, golden.Case{Name: name, Text: strconv.Quote(string(text[:n]))})
	}

	link.Call(goldenRequest, 1250*time.Millisecond, []byte("\x00\xffbody\r\n"))
	connect()
	written("call")
	link.handleReply(queue, replyFrame{requestID: goldenRequest, result: OK})
	link.Call(goldenOther, time.Second+999*time.Microsecond, nil)
	written("call of less than a millisecond without a body")
	link.handleReply(queue, replyFrame{requestID: goldenOther, result: Rejected})
	link.Call(goldenRequest, time.Hour+time.Second, []byte(strings.Repeat("x", 100)))
	requireEnd()
	connect()
	written("call of an hour")
	require.True(t, link.Abandon(goldenRequest))
	written("drop")
	requireEnd()
	golden.Require(t, "calls.golden", cases)
}

// Every kind of reply.
func TestGoldenReplies(t *testing.T) {
	cases := []struct {
		name   string
		result Result
		body   string
	}{
		{"OK", OK, "\x00\xff\r\nbody"},
		{"OK without a body", OK, ""},
		{"BUSY", Rejected, ""},
		{"ERR", Failed, ""},
		{"LATE", TimedOut, ""},
		{"VOID", NotStarted, ""},
	}
	replies := golden.Read(t, "replies.golden", len(cases))
	for _, test := range cases {
		require.Contains(t, replies, test.name)
		text, err := strconv.Unquote(replies[test.name])
		require.NoError(t, err, test.name)
		reader := bufio.NewReader(strings.NewReader(text))
		frame, err := readReply(reader)
		require.NoError(t, err, test.name)
		require.Equal(t, goldenRequest, frame.requestID, test.name)
		require.Equal(t, test.result, frame.result, test.name)
		require.Equal(t, test.body, string(frame.body), test.name)
		_, err = reader.ReadByte()
		require.ErrorIs(t, err, io.EOF, test.name)
	}
}

// The error that is logged for each invalid reply.
func TestGoldenErrors(t *testing.T) {
	var cases []golden.Case
	for _, test := range []struct{ name, text string }{
		{"line without a carriage return", "ab OK 4\nhi"},
		{"line of one word", "ab\r\n"},
		{"line without an id", " BUSY\r\n"},
		{"unknown word", "ab WELL\r\n"},
		{"OK without a length", "ab OK\r\n"},
		{"BUSY with a length", "ab BUSY 4\r\n"},
		{"length that is no number", "ab OK x\r\n"},
		{"length past the limit", "ab OK 65537\r\n"},
		{"line past the limit", strings.Repeat("a", maxLine) + " BUSY\r\n"},
		{"body without its end", "ab OK 2\r\nabcd"},
	} {
		_, err := readReply(bufio.NewReader(strings.NewReader(test.text)))
		require.ErrorIs(t, err, ErrMalformedReply, test.name)
		cases = append(cases, golden.Case{Name: test.name, Text: err.Error()})
	}
	golden.Require(t, "errors.golden", cases)
}

// Each log line of a Link. Each case uses a Link of its own.
func TestGoldenLog(t *testing.T) {
	var lines strings.Builder
	loop := Loop{Post: func(do func()) { do() }, Now: func() time.Duration { return 0 }, Deadlines: deadline.New()}
	newLink := func() *Link {
		log := logging.NewLimiter(golden.NewLogger(&lines))
		return New(Config{Address: "store:1", MaxConnections: 1, Seed: 1}, loop, func(string, Result, []byte) {}, log)
	}
	link := newLink()
	link.Call(goldenRequest, time.Hour, nil)
	link.handleDialFailed(<-link.dialer.requests, io.ErrUnexpectedEOF)
	link = newLink()
	link.Call(goldenRequest, time.Hour, nil)
	local, _ := net.Pipe()
	queue := writequeue.New(local, writeQueueSize)
	link.handleOpened(<-link.dialer.requests, queue)
	link.handleClosed(queue, io.EOF)
	golden.RequireText(t, "log", lines.String())
}

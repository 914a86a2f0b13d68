package agent

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"falldeal/internal/logging"
	"falldeal/internal/writequeue"
	"falldeal/lab/golden"

	"github.com/stretchr/testify/require"
)

const (
	goldenAddr    = "agent:1"
	goldenRequest = "9b1f03aa5c7e2d41"
)

func newGoldenLink() *Link { return newLinkWithLog(io.Discard) }

// newLinkWithLog returns a Link that logs to w. Its loop runs posted functions at once.
func newLinkWithLog(w io.Writer) *Link {
	log := golden.NewLogger(w)
	loop := Loop{Post: func(do func()) { do() }, Now: func() time.Duration { return 0 }}
	handler := Handler{
		OnNotification:        func(Notification) {},
		OnLost:                func() {},
		OnReplyUnacknowledged: func(string) {},
	}
	return New(Config{Address: goldenAddr, Seed: 1}, loop, handler, logging.NewLimiter(log))
}

// linesWritten returns the lines that link writes to a new connection during scenario, after which the connection ends.
func linesWritten(t *testing.T, link *Link, scenario func(queue *writequeue.Queue)) []string {
	t.Helper()
	local, remote := net.Pipe()
	queue := writequeue.New(local, writeQueueSize)
	link.handleOpened(goldenAddr, queue)
	scenario(queue)
	queue.Close()
	writerDone := make(chan error, 1)
	go func() { writerDone <- queue.Run() }()
	text, err := io.ReadAll(remote)
	require.NoError(t, err)
	require.NoError(t, <-writerDone)
	require.True(t, strings.HasSuffix(string(text), "\n"))
	link.handleClosed(queue)
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}

func nameLines(t *testing.T, names, lines []string) []golden.Case {
	t.Helper()
	require.Len(t, lines, len(names), "%q", lines)
	var cases []golden.Case
	for i, name := range names {
		cases = append(cases, golden.Case{Name: name, Text: lines[i]})
	}
	return cases
}

// Every command as a Link writes it, on a first connection and on the next one.
func TestGoldenCommands(t *testing.T) {
	link := newGoldenLink()
	first := linesWritten(t, link, func(queue *writequeue.Queue) {
		link.handleNotification(queue, Handshake{State: Steady, Age: time.Hour})
		link.handleNotification(queue, rawSample{sequence: 1})
		link.Reply(goldenRequest, []byte("reply\r\n"))
		link.handleNotification(queue, rawSample{sequence: 2})
		link.Launch(goldenRequest, "preview", []byte{0, 0xff, '\n', '"'})
		link.Launch("00000000000000aa", "né\"<\\>\n", nil)
		link.handleNotification(queue, Remark{Offset: 7})
		link.SkipCall("00000000000000aa", 7)
		link.SampleGauges()
		require.NoError(t, link.DeepCheck("x1"))
	})
	cases := nameLines(t, []string{"subscribe from the first", "sample after the greeting", "sample before a delivery", "deliver",
		"sample after a delivery", "launch", "launch of an odd class without a payload", "forgo", "sample", "exercise"}, first)
	second := linesWritten(t, link, func(queue *writequeue.Queue) {
		link.handleNotification(queue, Handshake{State: Steady, Age: time.Hour})
		link.Reply("00000000000000bb", []byte("reply\r\n")) // the connection is not ready yet
		link.handleNotification(queue, rawSample{sequence: 9})
	})
	cases = append(cases, nameLines(t, []string{"subscribe after a break", "sample after a break", "launch sent again",
		"second launch sent again", "forgo sent again", "deliver not sent before", "sample after that delivery"}, second)...)
	golden.Require(t, "commands.golden", cases)
}

// Every kind of notification from the agent, with each of its results.
func TestGoldenNotifications(t *testing.T) {
	cases := []struct {
		name string
		want Notification
	}{
		{"greeting of one that boots", Handshake{State: Booting}},
		{"greeting of one that runs", Handshake{State: Steady, Age: 3600000500 * time.Microsecond}},
		{"outcome success", RunOutcome{Offset: 7, RequestID: goldenRequest, Result: RunSucceeded,
			Payload: []byte{0, 255, '\r', '\n'}}},
		{"outcome failure", RunOutcome{Offset: 8, RequestID: goldenRequest, Result: RunFailed}},
		{"outcome interrupted", RunOutcome{Offset: 9, RequestID: goldenRequest, Result: RunInterrupted}},
		{"outcome nothing", RunOutcome{Offset: 10, RequestID: goldenRequest, Result: RunNotStarted}},
		{"request", CallRequest{Offset: 4294967296, RequestID: goldenRequest, Payload: []byte("call\r\n")}},
		{"sampled", rawSample{sequence: 12, values: []float64{0.625, 3, 0.41, 120}}},
		{"sampled with gauges that are not known", rawSample{sequence: 13, values: []float64{-1, -1, 0.5}}},
		{"exercised success", DeepCheckOutcome{Token: "x1", Succeeded: true}},
		{"exercised failure", DeepCheckOutcome{Token: "x2"}},
		{"refusal of a launch", CommandRejection{RequestID: goldenRequest, Command: CommandLaunch}},
		{"refusal of an exercise", CommandRejection{Command: CommandDeepCheck}},
		{"aside", Remark{Offset: 11}},
	}
	lines := golden.Read(t, "notices.golden", len(cases))
	lineParser := newParser()
	for _, test := range cases {
		require.Contains(t, lines, test.name)
		got, err := lineParser.Parse([]byte(lines[test.name] + "\n"))
		require.NoError(t, err, test.name)
		require.Equal(t, test.want, got, test.name)
	}
}

// The error that is logged for each line that is not a valid notification.
func TestGoldenErrors(t *testing.T) {
	var cases []golden.Case
	for _, test := range []struct{ name, line string }{
		{"unknown kind", `{"cmd":"news"}`},
		{"no kind", `{}`},
		{"negative time", `{"cmd":"greeting","result":"steady","elapsed_ms":-1}`},
		{"outcome without an offset", `{"cmd":"outcome","req":"ab","result":"success"}`},
		{"request without a req", `{"cmd":"request","offset":1}`},
		{"unknown result", `{"cmd":"outcome","offset":1,"req":"ab","result":"odd"}`},
		{"payload that is no base64", `{"cmd":"outcome","offset":1,"req":"ab","result":"success","payload":"%%"}`},
		{"unknown state", `{"cmd":"greeting","result":"asleep"}`},
		{"aside with a negative offset", `{"cmd":"aside","offset":-1}`},
	} {
		lineParser := newParser()
		_, err := lineParser.Parse([]byte(test.line))
		require.Error(t, err, test.name)
		cases = append(cases, golden.Case{Name: test.name, Text: err.Error()})
	}
	golden.Require(t, "errors.golden", cases)
}

// Each log line of a Link.
func TestGoldenLog(t *testing.T) {
	var lines strings.Builder
	link := newLinkWithLog(&lines)
	now := time.Minute
	link.loop.Now = func() time.Duration { return now }
	steady := Handshake{State: Steady, Age: time.Hour}
	connectionHandler{link}.Failed(goldenAddr, io.EOF)
	linesWritten(t, link, func(queue *writequeue.Queue) {
		link.handleNotification(queue, steady)
		link.handleNotification(queue, rawSample{sequence: 1})
	})
	linesWritten(t, link, func(queue *writequeue.Queue) {
		link.handleNotification(queue, steady)
		link.handleNotification(queue, Remark{Offset: 5})
		link.handleNotification(queue, rawSample{sequence: 2})
	})
	linesWritten(t, link, func(queue *writequeue.Queue) {
		link.handleNotification(queue, steady)
		link.handleNotification(queue, rawSample{sequence: 3})
		link.Reply(goldenRequest, nil)
		link.handleNotification(queue, rawSample{sequence: 4})
		link.Launch("00000000000000aa", "preview", nil)
	})
	linesWritten(t, link, func(queue *writequeue.Queue) {
		link.handleNotification(queue, steady)
		link.handleNotification(queue, rawSample{sequence: 8})
	})
	local, _ := net.Pipe()
	link.handleOpened(goldenAddr, writequeue.New(local, writeQueueSize))
	now += handshakeTimeout
	link.CheckLiveness()
	local, _ = net.Pipe()
	queue := writequeue.New(local, writeQueueSize)
	link.handleOpened(goldenAddr, queue)
	link.handleNotification(queue, Handshake{State: Booting, Age: time.Second})
	golden.RequireText(t, "log", lines.String())
}

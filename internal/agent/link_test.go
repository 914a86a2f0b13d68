package agent

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"

	"falldeal/internal/logging"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// A moved agent is reached at its new address while the old link still serves; runs go on over the new
// one from the last notice read, and what was on its way is sent again.
func TestAddressChange(t *testing.T) {
	posted := make(chan func(), 10)
	var notifications []string
	log, _ := test.NewNullLogger()
	var listeners [2]net.Listener
	for i := range listeners {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer ln.Close()
		listeners[i] = ln
	}
	link := New(listeners[0].Addr().String(), 1, func(f func()) { posted <- f }, func(n Notification) { notifications = append(notifications, string(n.Kind)+n.RequestID) },
		logging.NewLimiter(log))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = link.Run(ctx) }()
	runPosted := func() { (<-posted)() }
	var conns [2]net.Conn
	var lines [2]*bufio.Scanner
	accept := func(i int) {
		conn, err := listeners[i].Accept()
		require.NoError(t, err)
		conns[i], lines[i] = conn, bufio.NewScanner(conn)
	}
	expect := func(i int, want string) {
		t.Helper()
		require.True(t, lines[i].Scan())
		require.Equal(t, want, lines[i].Text())
	}
	send := func(i int, line string) {
		fmt.Fprintln(conns[i], line)
		runPosted()
	}
	accept(0)
	runPosted()
	expect(0, `{"cmd":"subscribe","offset":0}`)
	send(0, `{"cmd":"greeting","result":"steady","elapsed_ms":1}`)
	expect(0, `{"cmd":"sample","token":"1"}`)
	send(0, `{"cmd":"sampled","token":"1","load":[]}`)
	send(0, `{"cmd":"aside","offset":1}`)
	link.SetAddress(listeners[1].Addr().String())
	link.Launch("a", "preview", nil)
	expect(0, `{"cmd":"launch","req":"a","method":"preview","payload":""}`) // the old link serves until the new one is open
	accept(1)
	runPosted()                       // opened
	require.False(t, lines[0].Scan()) // the old one is closed
	runPosted()
	expect(1, `{"cmd":"subscribe","offset":1}`)
	send(1, `{"cmd":"greeting","result":"steady","elapsed_ms":9}`)
	expect(1, `{"cmd":"sample","token":"3"}`)
	send(1, `{"cmd":"sampled","token":"3","load":[]}`)
	expect(1, `{"cmd":"launch","req":"a","method":"preview","payload":""}`)
	send(1, `{"cmd":"outcome","offset":2,"req":"a","result":"success"}`)
	require.Equal(t, []string{"greeting", "sampled", "aside", "greeting", "sampled", "outcomea"}, notifications)
	require.EqualValues(t, 2, link.ConnectionsOpened())
}

// A broken link loses neither commands nor notices: what the agent has not been seen to read is sent
// again, but only once the missed notices are in; notices that were seen are dropped.
func TestReconnect(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	posted := make(chan func(), 10)
	var notifications []string
	log, _ := test.NewNullLogger()
	link := New(listener.Addr().String(), 1, func(f func()) { posted <- f }, func(n Notification) { notifications = append(notifications, string(n.Kind)+n.RequestID) },
		logging.NewLimiter(log))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = link.Run(ctx) }()
	runPosted := func() { (<-posted)() }

	link.Launch("a", "preview", nil) // the agent is not up yet
	conn, err := listener.Accept()
	require.NoError(t, err)
	lines := bufio.NewScanner(conn)
	expect := func(want string) {
		t.Helper()
		require.True(t, lines.Scan())
		require.Equal(t, want, lines.Text())
	}
	send := func(format string, args ...any) {
		fmt.Fprintf(conn, format+"\n", args...)
		runPosted()
	}
	runPosted() // opened
	expect(`{"cmd":"subscribe","offset":0}`)
	require.ErrorIs(t, link.DeepCheck("x"), ErrNotConnected)
	send(`{"cmd":"greeting","result":"booting","elapsed_ms":1}`)
	expect(`{"cmd":"sample","token":"2"}`)
	send(`{"cmd":"sampled","token":"2","load":[]}`)
	expect(`{"cmd":"launch","req":"a","method":"preview","payload":""}`)
	link.SampleGauges()
	expect(`{"cmd":"sample","token":"3"}`)
	send(`{"cmd":"sampled","token":"3","load":[]}`) // so the launch was read
	require.Empty(t, link.unacknowledged)
	link.Launch("b", "preview", nil)
	link.Launch("c", "preview", nil)
	send(`{"cmd":"request","offset":1,"req":"b"}`)
	send(`not a notice`) // the link is opened again
	link.Reply("b", nil)

	conn, err = listener.Accept()
	require.NoError(t, err)
	lines = bufio.NewScanner(conn)
	runPosted()
	expect(`{"cmd":"subscribe","offset":1}`)
	send(`{"cmd":"greeting","result":"steady","elapsed_ms":9}`)
	send(`{"cmd":"request","offset":1,"req":"b"}`)
	send(`{"cmd":"outcome","offset":2,"req":"a","result":"success"}`)
	expect(`{"cmd":"sample","token":"7"}`)
	send(`{"cmd":"sampled","token":"7","load":[]}`)
	expect(`{"cmd":"launch","req":"c","method":"preview","payload":""}`)
	expect(`{"cmd":"deliver","req":"b","payload":""}`)
	require.Equal(t, []string{"greeting", "sampled", "sampled", "requestb", "greeting", "outcomea", "sampled"}, notifications)
}

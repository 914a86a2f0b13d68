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
func TestMove(t *testing.T) {
	in := make(chan func(), 10)
	var seen []string
	log, _ := test.NewNullLogger()
	var lns [2]net.Listener
	for i := range lns {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer ln.Close()
		lns[i] = ln
	}
	l := New(lns[0].Addr().String(), 1, func(f func()) { in <- f }, func(n Notification) { seen = append(seen, string(n.Kind)+n.RequestID) },
		logging.NewLimiter(log))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = l.Run(ctx) }()
	turn := func() { (<-in)() }
	var conns [2]net.Conn
	var lines [2]*bufio.Scanner
	accept := func(i int) {
		nc, err := lns[i].Accept()
		require.NoError(t, err)
		conns[i], lines[i] = nc, bufio.NewScanner(nc)
	}
	expect := func(i int, want string) {
		t.Helper()
		require.True(t, lines[i].Scan())
		require.Equal(t, want, lines[i].Text())
	}
	tell := func(i int, line string) {
		fmt.Fprintln(conns[i], line)
		turn()
	}
	accept(0)
	turn()
	expect(0, `{"cmd":"subscribe","offset":0}`)
	tell(0, `{"cmd":"greeting","result":"steady","elapsed_ms":1}`)
	expect(0, `{"cmd":"sample","token":"1"}`)
	tell(0, `{"cmd":"sampled","token":"1","load":[]}`)
	tell(0, `{"cmd":"aside","offset":1}`)
	l.SetAddress(lns[1].Addr().String())
	l.Launch("a", "preview", nil)
	expect(0, `{"cmd":"launch","req":"a","method":"preview","payload":""}`) // the old link serves until the new one is open
	accept(1)
	turn()                            // opened
	require.False(t, lines[0].Scan()) // the old one is closed
	turn()
	expect(1, `{"cmd":"subscribe","offset":1}`)
	tell(1, `{"cmd":"greeting","result":"steady","elapsed_ms":9}`)
	expect(1, `{"cmd":"sample","token":"3"}`)
	tell(1, `{"cmd":"sampled","token":"3","load":[]}`)
	expect(1, `{"cmd":"launch","req":"a","method":"preview","payload":""}`)
	tell(1, `{"cmd":"outcome","offset":2,"req":"a","result":"success"}`)
	require.Equal(t, []string{"greeting", "sampled", "aside", "greeting", "sampled", "outcomea"}, seen)
	require.EqualValues(t, 2, l.ConnectionsOpened())
}

// A broken link loses neither commands nor notices: what the agent has not been seen to read is sent
// again, but only once the missed notices are in; notices that were seen are dropped.
func TestReconnect(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	in := make(chan func(), 10)
	var seen []string
	log, _ := test.NewNullLogger()
	l := New(ln.Addr().String(), 1, func(f func()) { in <- f }, func(n Notification) { seen = append(seen, string(n.Kind)+n.RequestID) },
		logging.NewLimiter(log))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = l.Run(ctx) }()
	turn := func() { (<-in)() }

	l.Launch("a", "preview", nil) // the agent is not up yet
	nc, err := ln.Accept()
	require.NoError(t, err)
	lines := bufio.NewScanner(nc)
	expect := func(want string) {
		t.Helper()
		require.True(t, lines.Scan())
		require.Equal(t, want, lines.Text())
	}
	tell := func(format string, args ...any) {
		fmt.Fprintf(nc, format+"\n", args...)
		turn()
	}
	turn() // opened
	expect(`{"cmd":"subscribe","offset":0}`)
	require.ErrorIs(t, l.DeepCheck("x"), ErrDown)
	tell(`{"cmd":"greeting","result":"booting","elapsed_ms":1}`)
	expect(`{"cmd":"sample","token":"2"}`)
	tell(`{"cmd":"sampled","token":"2","load":[]}`)
	expect(`{"cmd":"launch","req":"a","method":"preview","payload":""}`)
	l.SampleGauges()
	expect(`{"cmd":"sample","token":"3"}`)
	tell(`{"cmd":"sampled","token":"3","load":[]}`) // so the launch was read
	require.Empty(t, l.unread)
	l.Launch("b", "preview", nil)
	l.Launch("c", "preview", nil)
	tell(`{"cmd":"request","offset":1,"req":"b"}`)
	tell(`not a notice`) // the link is opened again
	l.Reply("b", nil)

	nc, err = ln.Accept()
	require.NoError(t, err)
	lines = bufio.NewScanner(nc)
	turn()
	expect(`{"cmd":"subscribe","offset":1}`)
	tell(`{"cmd":"greeting","result":"steady","elapsed_ms":9}`)
	tell(`{"cmd":"request","offset":1,"req":"b"}`)
	tell(`{"cmd":"outcome","offset":2,"req":"a","result":"success"}`)
	expect(`{"cmd":"sample","token":"7"}`)
	tell(`{"cmd":"sampled","token":"7","load":[]}`)
	expect(`{"cmd":"launch","req":"c","method":"preview","payload":""}`)
	expect(`{"cmd":"deliver","req":"b","payload":""}`)
	require.Equal(t, []string{"greeting", "sampled", "sampled", "requestb", "greeting", "outcomea", "sampled"}, seen)
}

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

// A broken link loses neither commands nor notices: what the agent has not been seen to read is sent
// again, but only once the missed notices are in; notices that were seen are dropped.
func TestReconnect(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	in := make(chan func(), 10)
	var seen []string
	log, _ := test.NewNullLogger()
	l := New(ln.Addr().String(), func(f func()) { in <- f }, func(n Notice) { seen = append(seen, string(n.Kind)+n.Req) },
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
	require.ErrorIs(t, l.Exercise("x"), ErrDown)
	tell(`{"cmd":"greeting","result":"booting","elapsed_ms":1}`)
	expect(`{"cmd":"sample","token":"2"}`)
	tell(`{"cmd":"sampled","token":"2","load":[]}`)
	expect(`{"cmd":"launch","req":"a","method":"preview","payload":""}`)
	l.Sample()
	expect(`{"cmd":"sample","token":"3"}`)
	tell(`{"cmd":"sampled","token":"3","load":[]}`) // so the launch was read
	require.Empty(t, l.unread)
	l.Launch("b", "preview", nil)
	l.Launch("c", "preview", nil)
	tell(`{"cmd":"request","offset":1,"req":"b"}`)
	tell(`not a notice`) // the link is opened again
	l.Deliver("b", nil)

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

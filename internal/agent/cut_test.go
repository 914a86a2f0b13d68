package agent

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"falldeal/internal/logging"
	"falldeal/lab/fakes"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// The configuration moves the agent in the middle of a cut: the dial to the old address hangs, and is not waited
// for. What was to be run meanwhile is run at the new address, once, though all notices of a silence come at once.
func TestMoveOutOfACut(t *testing.T) {
	mute, err := fakes.NewUnresponsiveListener()
	require.NoError(t, err)
	defer mute.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	in := make(chan func(), 10)
	var seen []string
	log, _ := test.NewNullLogger()
	l := New(mute.Addr, 1, func(f func()) { in <- f }, func(n Notification) { seen = append(seen, string(n.Kind)+n.RequestID) }, logging.NewLimiter(log))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = l.Run(ctx) }()
	l.Launch("a", "preview", nil)
	l.Launch("b", "preview", nil)
	l.SetAddress(ln.Addr().String())
	nc, err := ln.Accept()
	require.NoError(t, err)
	defer nc.Close()
	require.NoError(t, nc.SetDeadline(time.Now().Add(30*time.Second)))
	(<-in)()
	lines := bufio.NewScanner(nc)
	expect := func(want string) {
		t.Helper()
		require.True(t, lines.Scan(), "%v", lines.Err())
		require.Equal(t, want, lines.Text())
	}
	expect(`{"cmd":"subscribe","offset":0}`)
	fmt.Fprintln(nc, `{"cmd":"greeting","result":"steady","elapsed_ms":1}`)
	(<-in)()
	expect(`{"cmd":"sample","token":"3"}`)
	fmt.Fprintln(nc, `{"cmd":"sampled","token":"3","load":[]}`)
	(<-in)()
	expect(`{"cmd":"launch","req":"a","method":"preview","payload":""}`)
	expect(`{"cmd":"launch","req":"b","method":"preview","payload":""}`)
	// All at once, and some of it twice.
	fmt.Fprint(nc, `{"cmd":"outcome","offset":1,"req":"a","result":"success"}`+"\n"+`{"cmd":"outcome","offset":2,"req":"b","result":"success"}`+"\n"+
		`{"cmd":"outcome","offset":1,"req":"a","result":"success"}`+"\n"+`{"cmd":"aside","offset":3}`+"\n")
	for range 4 {
		(<-in)()
	}
	require.Equal(t, []string{"greeting", "sampled", "outcomea", "outcomeb", "aside"}, seen)
	require.Empty(t, l.unread)
}

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
func TestAddressChangeDuringPartition(t *testing.T) {
	unresponsive, err := fakes.NewMute()
	require.NoError(t, err)
	defer unresponsive.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	posted := make(chan func(), 10)
	var notifications []string
	log, _ := test.NewNullLogger()
	link := New(unresponsive.Addr, 1, func(f func()) { posted <- f }, func(n Notification) { notifications = append(notifications, string(n.Kind)+n.RequestID) }, logging.NewLimiter(log))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = link.Run(ctx) }()
	link.Launch("a", "preview", nil)
	link.Launch("b", "preview", nil)
	link.SetAddress(listener.Addr().String())
	conn, err := listener.Accept()
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	(<-posted)()
	lines := bufio.NewScanner(conn)
	expect := func(want string) {
		t.Helper()
		require.True(t, lines.Scan(), "%v", lines.Err())
		require.Equal(t, want, lines.Text())
	}
	expect(`{"cmd":"subscribe","offset":0}`)
	fmt.Fprintln(conn, `{"cmd":"greeting","result":"steady","elapsed_ms":1}`)
	(<-posted)()
	expect(`{"cmd":"sample","token":"3"}`)
	fmt.Fprintln(conn, `{"cmd":"sampled","token":"3","load":[]}`)
	(<-posted)()
	expect(`{"cmd":"launch","req":"a","method":"preview","payload":""}`)
	expect(`{"cmd":"launch","req":"b","method":"preview","payload":""}`)
	// All at once, and some of it twice.
	fmt.Fprint(conn, `{"cmd":"outcome","offset":1,"req":"a","result":"success"}`+"\n"+`{"cmd":"outcome","offset":2,"req":"b","result":"success"}`+"\n"+
		`{"cmd":"outcome","offset":1,"req":"a","result":"success"}`+"\n"+`{"cmd":"aside","offset":3}`+"\n")
	for range 4 {
		(<-posted)()
	}
	require.Equal(t, []string{"greeting", "sampled", "outcomea", "outcomeb", "aside"}, notifications)
	require.Empty(t, link.unacknowledged)
}

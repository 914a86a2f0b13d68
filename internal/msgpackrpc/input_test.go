package msgpackrpc

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"falldeal/lab/loopback"

	"github.com/stretchr/testify/require"
)

// loopbackConn returns both ends of a loopback connection; the local end is a conn of the server.
func loopbackConn(t *testing.T) (*conn, net.Conn) {
	ln := loopback.Listen(t)
	remote := loopback.Dial(t, ln.Addr().String())
	local, err := ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { local.Close() })
	return newConn(local), remote
}

// waitForInput waits until size bytes are in the socket's receive buffer.
func waitForInput(t *testing.T, conn *conn, size int) {
	raw, err := requireType[syscall.Conn](t, conn.netConn).SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		peeked := 0
		b := make([]byte, size)
		require.NoError(t, raw.Control(func(fd uintptr) {
			peeked, _, _ = syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}))
		return peeked == size
	}, testTimeout, time.Millisecond)
}

// A read deadline expires while the machine is paused or while an idle connection is being closed, and input that arrived
// before is unread. The deadline used to take precedence, and the connection was lost. The input must be read first.
func TestReadTimeoutDoesNotLoseInput(t *testing.T) {
	t.Parallel()
	for name, interrupt := range map[string]struct {
		trigger func(local *conn)
		wantErr error
	}{
		"idle close": {
			trigger: func(local *conn) { local.PauseReading() },
			wantErr: errReadPaused,
		},
		"pause": {
			trigger: func(local *conn) { require.NoError(t, local.netConn.SetReadDeadline(expiredDeadline)) },
			wantErr: os.ErrDeadlineExceeded,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			buffer := make([]byte, 10)
			local, remote := loopbackConn(t)
			require.NoError(t, local.input.setPartial(true))
			_, err := remote.Write([]byte("abc"))
			require.NoError(t, err)
			waitForInput(t, local, 3)
			interrupt.trigger(local)
			n, err := local.input.Read(buffer)
			require.NoError(t, err)
			require.Equal(t, "abc", string(buffer[:n]))
			interrupt.trigger(local) // nothing has arrived since
			_, err = local.input.Read(buffer)
			require.ErrorIs(t, err, interrupt.wantErr)

			local, remote = loopbackConn(t)
			interrupt.trigger(local)
			remote.Close() // after the deadline: the end of the stream must still be seen
			require.Eventually(t, func() bool {
				_, err := local.input.Read(buffer)
				return errors.Is(err, io.EOF)
			}, testTimeout, time.Millisecond)
		})
	}
}

// Input arrives after everything was read, but before the server closes the connection. It used to be discarded. It must be
// read first.
func TestCloseDoesNotLoseInput(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"request", "close"} {
		t.Run(first, func(t *testing.T) {
			t.Parallel()
			buffer := make([]byte, 10)
			local, remote := loopbackConn(t)
			local.PauseReading()
			_, err := local.input.Read(buffer)
			require.ErrorIs(t, err, errReadPaused)
			if first == "request" {
				_, err := remote.Write([]byte("abc"))
				require.NoError(t, err)
				waitForInput(t, local, 3)
				require.False(t, local.TryClose())
				<-local.input.resumed
				require.NoError(t, local.input.restart())
				n, err := local.input.Read(buffer)
				require.NoError(t, err)
				require.Equal(t, "abc", string(buffer[:n]))
				_, err = local.input.Read(buffer)
				require.ErrorIs(t, err, errReadPaused)
			}
			local.queue.Send([]byte("answer"))
			require.True(t, local.TryClose())
			done := make(chan error, 1)
			go func() { done <- local.queue.Run() }()
			written, err := io.ReadAll(remote)
			require.NoError(t, err)
			require.Equal(t, "answer", string(written))
			require.NoError(t, <-done)

			local, remote = loopbackConn(t) // if nothing is queued, TryClose closes the connection before it returns
			require.True(t, local.TryClose())
			require.NoError(t, remote.SetReadDeadline(time.Now().Add(testTimeout)))
			_, err = remote.Read(buffer)
			require.ErrorIs(t, err, io.EOF)
		})
	}
}

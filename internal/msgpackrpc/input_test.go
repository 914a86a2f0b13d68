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

// loopbackConn returns both ends of a loopback connection, the local one as the server has it.
func loopbackConn(t *testing.T) (*conn, net.Conn) {
	ln := loopback.Listen(t)
	remote := loopback.Dial(t, ln.Addr().String())
	local, err := ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { local.Close() })
	return newConn(local), remote
}

// waitForInput waits until size bytes are in the receive buffer of the socket.
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

// A read deadline expires while the machine stands still, or while an idle connection is to be closed, and input that
// arrived before is unread: it is read. The deadline counted first, and the connection was lost.
func TestReadTimeoutDoesNotLoseInput(t *testing.T) {
	t.Parallel()
	for name, interrupt := range map[string]struct {
		by  func(local *conn)
		err error
	}{
		"idle close": {
			by:  func(local *conn) { local.PauseReading() },
			err: errReadPaused,
		},
		"pause": {
			by:  func(local *conn) { require.NoError(t, local.netConn.SetReadDeadline(expiredDeadline)) },
			err: os.ErrDeadlineExceeded,
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
			interrupt.by(local)
			n, err := local.input.Read(buffer)
			require.NoError(t, err)
			require.Equal(t, "abc", string(buffer[:n]))
			interrupt.by(local) // and nothing has arrived since
			_, err = local.input.Read(buffer)
			require.ErrorIs(t, err, interrupt.err)

			local, remote = loopbackConn(t)
			interrupt.by(local)
			remote.Close() // the other order: the end of the connection is still seen
			require.Eventually(t, func() bool {
				_, err := local.input.Read(buffer)
				return errors.Is(err, io.EOF)
			}, testTimeout, time.Millisecond)
		})
	}
}

// Input that arrives after all was read, but before the connection is closed, is read first. It was discarded, for as
// long as the server took to get to the close.
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

			local, remote = loopbackConn(t) // with nothing to write it is closed when TryClose returns
			require.True(t, local.TryClose())
			require.NoError(t, remote.SetReadDeadline(time.Now().Add(testTimeout)))
			_, err = remote.Read(buffer)
			require.ErrorIs(t, err, io.EOF)
		})
	}
}

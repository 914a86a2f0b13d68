package msgpackrpc

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// readable reports whether a read, or for a listener an Accept, would return without waiting.
func readable(socket syscall.Conn) (found bool) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(descriptor uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}, 0)
		found = n > 0 && err == nil
	})
	return found && err == nil
}

// readAvailable reads what has arrived without waiting. It returns 0 and no error if nothing has. The socket must not have
// a read deadline.
func readAvailable(socket syscall.Conn, b []byte) (n int, err error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("access socket: %w", err)
	}
	var readErr error
	err = raw.Read(func(descriptor uintptr) bool {
		n, readErr = readDescriptor(int(descriptor), b)
		return true
	})
	switch {
	case err != nil:
		return 0, fmt.Errorf("access socket: %w", err)
	case errors.Is(readErr, syscall.EAGAIN):
		return 0, nil
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: readErr}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readDescriptor reads from a descriptor and retries a read that a signal interrupts.
func readDescriptor(descriptor int, b []byte) (int, error) {
	for {
		n, err := syscall.Read(descriptor, b)
		if !errors.Is(err, syscall.EINTR) {
			return n, err //nolint:wrapcheck // readAvailable wraps it
		}
	}
}

package fakes

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// UnresponsiveListener is an address on which dials time out, as behind a network partition. Its socket listens with
// a full backlog, so the kernel drops further SYN packets (Linux).
type UnresponsiveListener struct {
	Addr string

	fd          int
	backlogConn net.Conn // connection that fills the backlog
}

var errNotIPv4 = errors.New("socket address is not IPv4")

// NewUnresponsiveListener opens an UnresponsiveListener on a free port of 127.0.0.1. The caller must call Close.
func NewUnresponsiveListener() (*UnresponsiveListener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("open socket: %w", err)
	}
	l := &UnresponsiveListener{fd: fd}
	if err := l.listen(); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func (l *UnresponsiveListener) listen() error {
	if err := syscall.Bind(l.fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	if err := syscall.Listen(l.fd, 0); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	bound, err := syscall.Getsockname(l.fd)
	if err != nil {
		return fmt.Errorf("get socket address: %w", err)
	}
	addr, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		return errNotIPv4
	}
	l.Addr = fmt.Sprintf("127.0.0.1:%d", addr.Port)
	if l.backlogConn, err = (&net.Dialer{}).Dial("tcp", l.Addr); err != nil {
		return fmt.Errorf("fill backlog: %w", err)
	}
	return nil
}

// Close closes the socket, which frees the address.
func (l *UnresponsiveListener) Close() {
	if l.backlogConn != nil {
		_ = l.backlogConn.Close() // nothing was written
	}
	_ = syscall.Close(l.fd) // nothing was written, so nothing can be lost
}

package fakes

import (
	"fmt"
	"net"
	"syscall"
)

// UnresponsiveListener is an address on which a dial neither succeeds nor fails, as behind a cut: something listens there, but its
// queue of connections is full, and the kernel drops what comes (Linux).
type UnresponsiveListener struct {
	Addr string
	fd   int
	fill net.Conn
}

// NewUnresponsiveListener opens one.
func NewUnresponsiveListener() (*UnresponsiveListener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	m := &UnresponsiveListener{fd: fd}
	if err := m.listen(); err != nil {
		m.Close()
		return nil, err
	}
	return m, nil
}

func (m *UnresponsiveListener) listen() error {
	if err := syscall.Bind(m.fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	if err := syscall.Listen(m.fd, 0); err != nil {
		return err
	}
	sa, err := syscall.Getsockname(m.fd)
	if err != nil {
		return err
	}
	m.Addr = fmt.Sprintf("127.0.0.1:%d", sa.(*syscall.SockaddrInet4).Port)
	m.fill, err = net.Dial("tcp", m.Addr)
	return err
}

// Close frees the address.
func (m *UnresponsiveListener) Close() {
	if m.fill != nil {
		m.fill.Close()
	}
	syscall.Close(m.fd)
}

package handover

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"syscall"
	"time"

	"falldeal/internal/reconnect"
)

const (
	dialTimeout    = time.Second
	lockTimeout    = 2 * dialTimeout      // longer than the dial of the process that holds the lock
	lockRetryDelay = 5 * time.Millisecond // between two attempts to take the lock
)

// joined is the result of join: a predecessor, a listener or, if listenErr is set, neither.
type joined struct {
	predecessor net.Conn
	listener    net.Listener
	dialErr     error // a socket exists, but its process is unreachable; the listener may be open nevertheless
	listenErr   error // there is no predecessor, and the listener could not be opened
}

// join connects to the predecessor that listens at path. If there is none, it opens the listener that replaces it, so
// that the next process finds this one even before it serves. The lock serializes processes that start at the same time:
// each dials and listens before the next one dials.
func join(path string) joined {
	unlock := acquireLock(path + ".lock")
	defer unlock()
	// The dial must not be cancelled when this process is told to end: the failed dial would make an ending process take
	// the place of its predecessor.
	predecessor, dialErr := reconnect.Dial(context.Background(), "unix", path, dialTimeout)
	if dialErr == nil {
		return joined{predecessor: predecessor}
	}
	if errors.Is(dialErr, fs.ErrNotExist) {
		dialErr = nil // no process has listened at path before; one that has ended would have left its socket there
	}
	listener, listenErr := listen(path)
	return joined{listener: listener, dialErr: dialErr, listenErr: listenErr}
}

// acquireLock waits until no other process holds the lock, but returns without the lock after lockTimeout: a process that
// is suspended (SIGSTOP) while it holds the lock must not prevent this one from serving. The kernel releases the lock when
// its holder exits.
func acquireLock(path string) (unlock func()) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600) //nolint:gosec // the path comes from the configuration
	if err != nil {
		return func() {} // most likely no listener can be opened in this directory either, which Run logs
	}
	deadline := time.Now().Add(lockTimeout)
	for syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil && !time.Now().After(deadline) {
		time.Sleep(lockRetryDelay)
	}
	return func() {
		_ = file.Close() // releases the lock; the error does not matter, because nothing was written to the file
	}
}

// listen replaces the listener at path atomically: a process that dials at the same time reaches either the old or the new one.
// The socket is not removed when this process ends, because by then the next process may have replaced it.
func listen(path string) (net.Listener, error) {
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := os.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("remove stale socket: %w", err)
	}
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("listen for a successor: %w", err)
	}
	listener.SetUnlinkOnClose(false)
	if err := os.Rename(temporary, path); err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return listener, nil
}

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
	lockTimeout    = 2 * dialTimeout
	lockRetryDelay = 5 * time.Millisecond
)

// joined is what join has found or opened: a predecessor, a listener, or, where listenErr is set, neither.
type joined struct {
	predecessor net.Conn
	listener    net.Listener
	dialErr     error // there is a socket, but its process can't be reached; a listener may have been opened all the same
	listenErr   error // there is no predecessor, and the listener was not opened
}

// join connects to the predecessor that listens at path, or, where there is none, opens the listener that replaces it:
// the next process finds this one though it does not serve yet. Of two processes that start at the same time, the lock
// lets one dial and listen before the other dials.
func join(path string) joined {
	unlock := acquireLock(path + ".lock")
	defer unlock()
	// The end of this process does not cut the dial short: a process that ends would replace the predecessor.
	predecessor, dialErr := reconnect.Dial(context.Background(), "unix", path, dialTimeout)
	if dialErr == nil {
		return joined{predecessor: predecessor}
	}
	if errors.Is(dialErr, fs.ErrNotExist) {
		dialErr = nil // nobody has ever listened there: a process that has ended leaves its socket, and is logged
	}
	listener, listenErr := listen(path)
	return joined{listener: listener, dialErr: dialErr, listenErr: listenErr}
}

// acquireLock waits until no other process holds the lock, for lockTimeout at most: a process that is stopped must not
// keep this one from serving. The kernel releases the lock of a process that ends.
func acquireLock(path string) (unlock func()) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600) //nolint:gosec // beside the socket of the configuration
	if err != nil {
		return func() {} // listening there fails as well, and reports it
	}
	deadline := time.Now().Add(lockTimeout)
	for syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil && !time.Now().After(deadline) {
		time.Sleep(lockRetryDelay)
	}
	return func() {
		_ = file.Close() // nothing was written to it
	}
}

// listen replaces whatever listened at path before, in one step: whoever dials meanwhile finds the one or the other. The
// next process does the same, so the socket must not be removed with this one.
func listen(path string) (net.Listener, error) {
	own := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := os.Remove(own); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("remove the socket of an earlier process: %w", err)
	}
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: own, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("listen for a successor: %w", err)
	}
	listener.SetUnlinkOnClose(false)
	if err := os.Rename(own, path); err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return listener, nil
}

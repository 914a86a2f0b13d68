// Package sharelock holds the locks by which the processes of one image server divide its limits. The locks are bytes of a
// file that all of them open. The kernel gives a lock to one process at a time, and takes it back when that process exits,
// however that happens. So the number of processes follows from the locks, and no unit of a limit has two holders, even if the
// processes cannot talk to each other.
//
// The file has a byte for each process that is alive, one for each process that claims a share, and one for each unit. It
// stays empty: locks may lie behind its end. The offsets must not change, because processes of different versions share the
// file.
package sharelock

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"falldeal/internal/fairshare"

	"golang.org/x/sys/unix"
)

// Offsets of the first locks of each kind. The lock of a process is at the offset of its kind plus its process ID.
const (
	presenceOffset = 0
	claimOffset    = 1 << 32
	unitOffset     = 1 << 33
)

const (
	// maxProcessID is greater than any process ID of Linux.
	maxProcessID = 1 << 22
	// maxSameID is how many processes may have the same ID, because they are in different namespaces. The further ones take
	// the locks that are maxProcessID behind that of the one before.
	maxSameID = 8
)

// errNoLockFree is returned when maxSameID other processes with the ID of this one hold locks of the kind that is wanted.
var errNoLockFree = errors.New("too many processes with the same ID")

// Locks are the locks of this process. The methods do not block, and must be called on one goroutine.
type Locks struct {
	file   *os.File
	claim  int64   // offset of the claim that this process holds; 0: none
	units  []int64 // offsets of the units that this process holds
	others []int64 // presence locks of other processes when Observe was called last, sorted
	exits  int     // processes in others that were gone at the next Observe
}

// Open opens the file at path, which it creates if necessary, and records that this process is alive. The record ends with
// the process, or with Close.
func Open(path string) (*Locks, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600) //nolint:gosec // the path comes from the configuration
	if err != nil {
		return nil, fmt.Errorf("open lock file: %w", err)
	}
	locks := &Locks{file: file}
	if _, err := locks.lockOwn(presenceOffset); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return locks, nil
}

// Close releases all locks.
func (l *Locks) Close() error {
	if err := l.file.Close(); err != nil {
		return fmt.Errorf("close lock file: %w", err)
	}
	return nil
}

// Processes counts the processes that have opened the file.
type Processes struct {
	Alive     int // including this one
	Claimants int // processes that claim a share, including this one if it does
	Exits     int // exits of other processes that were alive at an earlier Observe
}

// Observe counts the processes that are alive. An exit counts once a process that was seen is gone, so that one that both
// starts and exits between two calls does not count.
func (l *Locks) Observe() (Processes, error) {
	others, err := l.lockedByOthers(presenceOffset, maxSameID*maxProcessID)
	if err != nil {
		return Processes{}, err
	}
	slices.Sort(others)
	for _, other := range l.others {
		if _, alive := slices.BinarySearch(others, other); !alive {
			l.exits++
		}
	}
	l.others = others
	claims, err := l.lockedByOthers(claimOffset, maxSameID*maxProcessID)
	if err != nil {
		return Processes{}, err
	}
	claimants := len(claims)
	if l.claim != 0 {
		claimants++
	}
	return Processes{Alive: len(others) + 1, Claimants: claimants, Exits: l.exits}, nil
}

// SetClaim records whether this process claims a share.
func (l *Locks) SetClaim(claims bool) error {
	switch {
	case claims && l.claim == 0:
		claim, err := l.lockOwn(claimOffset)
		l.claim = claim
		return err
	case !claims && l.claim != 0:
		claim := l.claim
		l.claim = 0
		return l.set(unix.F_UNLCK, claim)
	}
	return nil
}

// Acquire locks up to the given number of units that have no holder, and returns how many it has locked.
func (l *Locks) Acquire(units int) (acquired int, err error) {
	for offset := int64(unitOffset); offset < unitOffset+fairshare.Units && acquired < units; offset++ {
		if slices.Contains(l.units, offset) {
			continue
		}
		locked, err := l.tryLock(offset)
		if err != nil {
			return acquired, err
		}
		if locked {
			l.units = append(l.units, offset)
			acquired++
		}
	}
	return acquired, nil
}

// Release unlocks the given number of units, or all if this process holds fewer.
func (l *Locks) Release(units int) error {
	for range min(units, len(l.units)) {
		last := len(l.units) - 1
		if err := l.set(unix.F_UNLCK, l.units[last]); err != nil {
			return err
		}
		l.units = l.units[:last]
	}
	return nil
}

// lockOwn locks the byte of this process of the given kind, and returns its offset.
func (l *Locks) lockOwn(kindOffset int64) (int64, error) {
	offset := kindOffset + int64(os.Getpid())
	for range maxSameID {
		locked, err := l.tryLock(offset)
		if err != nil {
			return 0, err
		}
		if locked {
			return offset, nil
		}
		offset += maxProcessID
	}
	return 0, errNoLockFree
}

// lockedByOthers returns the offsets within a range at which locks of other processes start, in no particular order. Each
// query returns one of them.
func (l *Locks) lockedByOthers(offset, length int64) ([]int64, error) {
	if length <= 0 {
		return nil, nil
	}
	lock := unix.Flock_t{Type: unix.F_WRLCK, Whence: io.SeekStart, Start: offset, Len: length}
	if err := unix.FcntlFlock(l.file.Fd(), unix.F_OFD_GETLK, &lock); err != nil {
		return nil, fmt.Errorf("query locks: %w", err)
	}
	if lock.Type == unix.F_UNLCK {
		return nil, nil
	}
	before, err := l.lockedByOthers(offset, lock.Start-offset)
	if err != nil {
		return nil, err
	}
	lockEnd := lock.Start + max(lock.Len, 1) // a length of 0 would stand for the rest of the file
	after, err := l.lockedByOthers(lockEnd, offset+length-lockEnd)
	if err != nil {
		return nil, err
	}
	return slices.Concat(before, []int64{lock.Start}, after), nil
}

// tryLock locks a byte, and reports whether no other process holds it.
func (l *Locks) tryLock(offset int64) (bool, error) {
	err := l.set(unix.F_WRLCK, offset)
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EACCES) {
		return false, nil
	}
	return err == nil, err
}

// set locks or unlocks a byte. The locks belong to the open file, so that a second Open in the same process conflicts with
// the first one, as that of another process does.
func (l *Locks) set(kind int16, offset int64) error {
	lock := unix.Flock_t{Type: kind, Whence: io.SeekStart, Start: offset, Len: 1}
	if err := unix.FcntlFlock(l.file.Fd(), unix.F_OFD_SETLK, &lock); err != nil {
		return fmt.Errorf("set lock %d: %w", offset, err)
	}
	return nil
}

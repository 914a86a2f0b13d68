package permit

import (
	"errors"
	"fmt"
)

// Denials of a command as a whole.
var (
	ErrHalted         = errors.New("halted")
	ErrHaltedSince    = errors.New("a halt came between") // after the proposer read State.Halts
	ErrNoLimits       = errors.New("there are no limits yet")
	ErrBatchSize      = errors.New("too many, or none") // instances named, permitted or lost
	ErrNotOneInstance = errors.New("names one instance")
	ErrNotHolder      = errors.New("that permit is another's")
	ErrReasonRequired = errors.New("a permit is written off for a reason only")
	ErrUnknownCommand = errors.New("not a command that is known")
)

// Denials that concern one instance. They come wrapped in an InstanceError.
var (
	ErrUnknownInstance    = errors.New("is nobody's name")
	ErrAlreadyPermitted   = errors.New("is out already")
	ErrNoPermit           = errors.New("has no permit")
	ErrDeparted           = errors.New("has begun to go")
	ErrNotDeparted        = errors.New("has not gone yet")
	ErrEarlierIncarnation = errors.New("was an earlier process then")
)

// InstanceError is a denial because of one instance.
type InstanceError struct {
	Name string
	Err  error
}

func (e *InstanceError) Error() string { return e.Name + " " + e.Err.Error() }

func (e *InstanceError) Unwrap() error { return e.Err }

// LimitError is a denial by a limit. A limit that allows none at all can never be met.
type LimitError struct {
	Index       int    // in Rules.Limits
	Domain      string // in which it would be exceeded
	Instances   int    // in that domain
	Unavailable int    // instances that would be out or lost
	Allowed     int
}

func (e *LimitError) Error() string {
	if e.Allowed == 0 {
		return fmt.Sprintf("limits[%d]: of %d in %s none may ever go", e.Index, e.Instances, e.Domain)
	}
	return fmt.Sprintf("limits[%d]: %d of %d in %s would be out or lost, and %d may be",
		e.Index, e.Unavailable, e.Instances, e.Domain, e.Allowed)
}

// LoadError is a denial because the remaining instances could not carry the load.
type LoadError struct {
	Load, Remaining float64 // seconds of work per second: asked for, and capacity of what would remain
	Margin          float64 // part of the remaining capacity that the load must not take
}

func (e *LoadError) Error() string {
	const percent = 100
	return fmt.Sprintf("load: %.1f is asked for, and %.1f less %.0f%% would be left", e.Load, e.Remaining, percent*e.Margin)
}

// StaleRulesError is a denial of rules whose version is not above the one in force.
type StaleRulesError struct{ Version, Current uint64 }

func (e *StaleRulesError) Error() string {
	return fmt.Sprintf("rules %d are not newer than %d", e.Version, e.Current)
}

// KeyError names the key of the operators' rules that is at fault.
type KeyError struct {
	Key string
	Err error
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

func (e *KeyError) Unwrap() error { return e.Err }

// keyErrorf returns a KeyError with a formatted text.
func keyErrorf(key, format string, args ...any) error {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}

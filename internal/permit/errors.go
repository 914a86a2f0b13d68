package permit

import (
	"errors"
	"fmt"
)

// Denials of a command as a whole.
var (
	ErrHalted         = errors.New("grants are halted")
	ErrHaltedSince    = errors.New("grants were halted since the request was prepared") // after the proposer read State.Halts
	ErrNoLimits       = errors.New("no limits are set")
	ErrBatchSize      = errors.New("too many names, or none") // instances named, permitted or lost
	ErrNotOneInstance = errors.New("exactly one instance must be named")
	ErrNotHolder      = errors.New("not the holder of this permit")
	ErrReasonRequired = errors.New("writing off a permit requires a reason")
	ErrUnknownCommand = errors.New("unknown command")
)

// Denials that concern one instance. They come wrapped in an InstanceError.
var (
	ErrUnknownInstance    = errors.New("unknown instance")
	ErrAlreadyPermitted   = errors.New("already has a permit")
	ErrNoPermit           = errors.New("has no permit")
	ErrDeparted           = errors.New("has departed")
	ErrNotDeparted        = errors.New("has not departed yet")
	ErrEarlierIncarnation = errors.New("report of an earlier process")
)

// InstanceError is a denial because of one instance.
type InstanceError struct {
	Name string
	Err  error
}

func (e *InstanceError) Error() string { return e.Name + ": " + e.Err.Error() }

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
		return fmt.Sprintf("limits[%d]: no instance of %d in %s may be unavailable", e.Index, e.Instances, e.Domain)
	}
	return fmt.Sprintf("limits[%d]: %d of %d instances in %s would be unavailable, allowed: %d",
		e.Index, e.Unavailable, e.Instances, e.Domain, e.Allowed)
}

// LoadError is a denial because the remaining instances could not carry the load.
type LoadError struct {
	Load, Remaining float64 // seconds of work per second: asked for, and capacity of what would remain
	Margin          float64 // part of the remaining capacity that the load must not take
}

func (e *LoadError) Error() string {
	const percent = 100
	return fmt.Sprintf("load: %.1f exceeds remaining capacity %.1f less a margin of %.0f%%", e.Load, e.Remaining, percent*e.Margin)
}

// StaleRulesError is a denial of rules whose version is not above the one in force.
type StaleRulesError struct{ Version, Current uint64 }

func (e *StaleRulesError) Error() string {
	return fmt.Sprintf("rules version %d is not above current version %d", e.Version, e.Current)
}

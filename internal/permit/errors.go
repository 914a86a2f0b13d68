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
	ErrInstanceCount  = errors.New("no instance is named, or too many are named, permitted or lost")
	ErrNotOneInstance = errors.New("exactly one instance must be named")
	ErrNotHolder      = errors.New("not the holder of this permit")
	ErrReasonRequired = errors.New("writing off a permit requires a reason")
	ErrUnknownCommand = errors.New("unknown command")
)

// Denials that concern one instance. They are returned wrapped in an InstanceError.
var (
	ErrUnknownInstance    = errors.New("unknown instance")
	ErrAlreadyPermitted   = errors.New("already has a permit")
	ErrNoPermit           = errors.New("has no permit") // for Departed: or has one for another process
	ErrDeparted           = errors.New("has departed")
	ErrNotDeparted        = errors.New("has not departed yet")
	ErrEarlierIncarnation = errors.New("report of an earlier process")
)

// InstanceError is a denial because of one instance.
type InstanceError struct {
	Name string // name of the instance
	Err  error  // why; one of the errors above, alone or wrapped
}

func (e *InstanceError) Error() string { return e.Name + ": " + e.Err.Error() }

func (e *InstanceError) Unwrap() error { return e.Err }

// LimitError is a denial because a limit would be exceeded. A limit that allows no unavailable instance in a domain denies
// every command for that domain.
type LimitError struct {
	Index       int    // index of the limit in Rules.Limits
	Domain      string // domain in which the limit would be exceeded: REGION/ZONE, REGION or all
	Instances   int    // number of instances that the limit selects in the domain
	Unavailable int    // number of these that would be unavailable
	Allowed     int    // number of these that may be unavailable
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
	Load      float64 // demand on the whole fleet, in seconds of work requested per second
	Remaining float64 // capacity that would remain, in seconds of work completed per second
	Margin    float64 // ratio of the remaining capacity to keep free of load
}

func (e *LoadError) Error() string {
	const percent = 100
	return fmt.Sprintf("load: %.1f exceeds remaining capacity %.1f less a margin of %.0f%%", e.Load, e.Remaining, percent*e.Margin)
}

// StaleRulesError is a denial of SetRules because the version is not above that of the rules in force.
type StaleRulesError struct{ Version, Current uint64 }

func (e *StaleRulesError) Error() string {
	return fmt.Sprintf("rules version %d is not above current version %d", e.Version, e.Current)
}

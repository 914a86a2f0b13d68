package faults

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind says what a Fault does, as it stands in scripts and in the requests of `lab fault`.
type Kind string

// Kinds of faults of links. They are in force from Fault.Start for Fault.Duration.
const (
	KindPartition Kind = "cut"    // nothing arrives
	KindLoss      Kind = "loss"   // datagrams are lost, by Ratio
	KindDuplicate Kind = "double" // datagrams arrive twice, by Ratio
	KindDelay     Kind = "delay"  // everything is delayed by Delay, datagrams by up to Jitter more
	KindThrottle  Kind = "slow"   // each stream carries at most BytesPerSecond
	KindReset     Kind = "reset"  // streams are reset
)

// Kinds of faults of processes. They are done once, at Fault.Start.
const (
	KindKill              Kind = "kill"    // SIGKILL; started again at the end, if there is one
	KindPause             Kind = "stop"    // SIGSTOP, and SIGCONT at the end
	KindTerminate         Kind = "term"    // SIGTERM; started again at the end, if there is one
	KindRestart           Kind = "restart" // SIGKILL, and started again at once under the same name
	KindDelayedStart      Kind = "late"    // not started before the end
	KindSlowAgent         Kind = "slowrun" // the agent is slower by the factor Ratio until the end
	KindUnresponsiveStore Kind = "mute"    // the store of its zone accepts calls and answers none until the end
	KindStall             Kind = "wedge"   // the server's loop blocks for a while; the rest of the process goes on
	KindClockSkew         Kind = "clock"   // started again with its clock off by Delay, which may be negative, until the end
)

var (
	linkKinds    = []Kind{KindPartition, KindLoss, KindDuplicate, KindDelay, KindThrottle, KindReset}
	processKinds = []Kind{
		KindKill, KindPause, KindTerminate, KindRestart, KindDelayedStart, KindSlowAgent, KindUnresponsiveStore,
		KindStall, KindClockSkew,
	}
)

// AllMembers is the pattern that matches every member.
const AllMembers = "*"

// Fault is one thing that goes wrong. Target and Peer are patterns: the name of a member, zone:NAME, region:NAME, or
// * for all members. Times are on the laboratory's clock.
type Fault struct {
	Kind           Kind          `json:"Kind"`
	Target         string        `json:"Who"`    // whose process, or the sender
	Peer           string        `json:"To"`     // links: the receiver
	OneWay         bool          `json:"OneWay"` // links: only from Target to Peer
	Start          time.Duration `json:"At"`
	Duration       time.Duration `json:"For"` // 0 = without an end
	Ratio          float64       `json:"Share"`
	Delay          time.Duration `json:"Delay"`
	Jitter         time.Duration `json:"Jitter"`
	BytesPerSecond int           `json:"Rate"`
}

// AffectsLink reports whether the fault is one of links, and not of processes.
func (f *Fault) AffectsLink() bool { return slices.Contains(linkKinds, f.Kind) }

// ActiveAt reports whether the fault is in force.
func (f *Fault) ActiveAt(now time.Duration) bool {
	hasEnded := f.Duration > 0 && now >= f.Start+f.Duration
	return now >= f.Start && !hasEnded
}

// Location is where a member is.
type Location struct{ Name, Zone, Region string }

// matches reports whether a pattern matches the member.
func (l *Location) matches(pattern string) bool {
	if zone, ok := strings.CutPrefix(pattern, "zone:"); ok {
		return l.Zone == zone
	}
	if region, ok := strings.CutPrefix(pattern, "region:"); ok {
		return l.Region == region
	}
	return pattern == AllMembers || pattern == l.Name
}

// FieldError reports that the value of a fault's field cannot be used. Key is the key of the field in a script.
type FieldError struct {
	Key string
	Err error
}

func (e *FieldError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns what is wrong with the value.
func (e *FieldError) Unwrap() error { return e.Err }

func fieldError(key, format string, args ...any) error {
	return &FieldError{Key: key, Err: fmt.Errorf(format, args...)}
}

// Check returns a FieldError if the fault does not make sense, or if no member among the locations matches its
// patterns.
func (f *Fault) Check(locations []Location) error {
	err := f.checkKind()
	if err == nil {
		err = f.checkLink()
	}
	if err == nil {
		err = f.checkProcess()
	}
	if err == nil {
		err = checkPattern("who", f.Target, locations)
	}
	if err == nil && f.Peer != "" {
		err = checkPattern("to", f.Peer, locations)
	}
	return err
}

func (f *Fault) checkKind() error {
	if f.AffectsLink() {
		return nil
	}
	if !slices.Contains(processKinds, f.Kind) {
		return fieldError("kind", "%q, want one of %s", f.Kind, knownKinds())
	}
	if f.Peer != "" || f.OneWay {
		return fieldError("to", "a process fault has no peer")
	}
	return nil
}

// knownKinds lists the kinds of faults for readers.
func knownKinds() string {
	var names []string
	for _, kind := range slices.Concat(linkKinds, processKinds) {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

// checkLink checks the fields that the kinds of links need.
func (f *Fault) checkLink() error {
	switch f.Kind {
	case KindLoss, KindDuplicate:
		if !(f.Ratio > 0 && f.Ratio <= 1) { // so that NaN is an error too
			return fieldError("share", "%v, want more than 0 and at most 1", f.Ratio)
		}
	case KindDelay:
		if f.Delay+f.Jitter <= 0 {
			return fieldError("delay", "missing")
		}
	case KindThrottle:
		if f.BytesPerSecond <= 0 {
			return fieldError("rate", "want more than 0 bytes per second")
		}
	default: // needs no field
	}
	return nil
}

// checkProcess checks the fields that the kinds of processes need.
func (f *Fault) checkProcess() error {
	switch f.Kind {
	case KindSlowAgent:
		if !(f.Ratio >= 1) { // so that NaN is an error too
			return fieldError("share", "%v, want a slowdown factor of at least 1", f.Ratio)
		}
	case KindClockSkew:
		if f.Delay == 0 {
			return fieldError("delay", "missing: the clock skew")
		}
	case KindPause:
		if f.Duration == 0 {
			return fieldError("for", "a paused process needs a duration after which it resumes")
		}
	case KindDelayedStart:
		return f.checkDelayedStart()
	default: // needs no field
	}
	return nil
}

func (f *Fault) checkDelayedStart() error {
	if f.Start != 0 || f.Duration == 0 {
		return fieldError("for", "a delayed start begins at 0 and needs a duration")
	}
	return nil
}

func checkPattern(key, pattern string, locations []Location) error {
	if !slices.ContainsFunc(locations, func(l Location) bool { return l.matches(pattern) }) {
		return fieldError(key, "no member matches %q", pattern)
	}
	return nil
}

// affects reports whether a fault of links affects what one member sends to another.
func (f *Fault) affects(from, to *Location) bool {
	if f.Target == AllMembers && f.Peer == AllMembers {
		return true
	}
	if f.crossedBy(from, to) {
		return true
	}
	return !f.OneWay && f.crossedBy(to, from)
}

// crossedBy reports whether what one member sends to another goes from the fault's target to its peer. Where the peer
// is AllMembers, that means all others: links within the target, such as a zone, are not affected.
func (f *Fault) crossedBy(from, to *Location) bool {
	if !from.matches(f.Target) || !to.matches(f.Peer) {
		return false
	}
	return f.Peer != AllMembers || !to.matches(f.Target)
}

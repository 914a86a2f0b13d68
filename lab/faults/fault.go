package faults

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind is the effect of a Fault. Its values are used in scripts and in the requests of `lab fault`.
type Kind string

// Kinds of link faults. They are in force from Fault.Start for Fault.Duration.
const (
	KindPartition Kind = "cut"    // nothing arrives
	KindLoss      Kind = "loss"   // a fraction Ratio of the datagrams is lost
	KindDuplicate Kind = "double" // a fraction Ratio of the datagrams arrives twice
	KindDelay     Kind = "delay"  // all traffic is delayed by Delay, datagrams by up to Jitter more
	KindThrottle  Kind = "slow"   // each direction of a stream carries at most BytesPerSecond
	KindReset     Kind = "reset"  // streams are reset
)

// Kinds of process faults. They are applied once, at Fault.Start. Some of them are reverted at the end: after
// Fault.Duration, if that is not 0.
const (
	KindKill              Kind = "kill"    // SIGKILL; the process is restarted at the end, if the fault has one
	KindPause             Kind = "stop"    // SIGSTOP, and SIGCONT at the end
	KindTerminate         Kind = "term"    // SIGTERM; the process is restarted at the end, if the fault has one
	KindRestart           Kind = "restart" // SIGKILL, and an immediate restart under the same name
	KindDelayedStart      Kind = "late"    // the process is not started before the end
	KindSlowAgent         Kind = "slowrun" // the agent is slowed down by the factor Ratio until the end
	KindUnresponsiveStore Kind = "mute"    // until the end, the store of the zone holds each new call until its timeout
	KindStall             Kind = "wedge"   // the server blocks only its event loop, for the time set in its operators' file
	KindClockSkew         Kind = "clock"   // restart with the clock offset by Delay (may be negative), and without it at the end
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

// Fault is one fault of a script. Target and Peer are patterns: the name of a member, zone:NAME, region:NAME, or *
// for all members.
type Fault struct {
	Kind           Kind          `json:"Kind"`
	Target         string        `json:"Who"`    // process faults: the members affected; link faults: one end of the links
	Peer           string        `json:"To"`     // link faults: the other end of the links
	OneWay         bool          `json:"OneWay"` // link faults: affects traffic from Target to Peer, but not from Peer to Target
	Start          time.Duration `json:"At"`     // on the laboratory's clock
	Duration       time.Duration `json:"For"`    // 0 = until the laboratory ends
	Ratio          float64       `json:"Share"`  // lost or duplicated fraction, or slowdown factor; see Kind
	Delay          time.Duration `json:"Delay"`  // delay, or clock offset; see Kind
	Jitter         time.Duration `json:"Jitter"` // maximum additional delay of a datagram
	BytesPerSecond int           `json:"Rate"`   // maximum rate of each direction of a stream
}

// AffectsLink reports whether the fault is a link fault.
func (f *Fault) AffectsLink() bool { return slices.Contains(linkKinds, f.Kind) }

// ActiveAt reports whether the fault is in force at now.
func (f *Fault) ActiveAt(now time.Duration) bool {
	hasEnded := f.Duration > 0 && now >= f.Start+f.Duration
	return now >= f.Start && !hasEnded
}

// Location is the name, zone and region of a member.
type Location struct{ Name, Zone, Region string }

// matches reports whether the pattern matches the member.
func (l *Location) matches(pattern string) bool {
	if zone, ok := strings.CutPrefix(pattern, "zone:"); ok {
		return l.Zone == zone
	}
	if region, ok := strings.CutPrefix(pattern, "region:"); ok {
		return l.Region == region
	}
	return pattern == AllMembers || pattern == l.Name
}

// FieldError reports an invalid value in a field of a fault. Key is the key of the field in a script.
type FieldError struct {
	Key string
	Err error
}

func (e *FieldError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the error that describes what is wrong with the value.
func (e *FieldError) Unwrap() error { return e.Err }

func fieldError(key, format string, args ...any) error {
	return &FieldError{Key: key, Err: fmt.Errorf(format, args...)}
}

// Check returns a FieldError if a field of the fault is invalid, or if a pattern matches none of the locations.
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

// knownKinds returns a comma-separated list of all kinds, for error messages.
func knownKinds() string {
	var names []string
	for _, kind := range slices.Concat(linkKinds, processKinds) {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

// checkLink checks the fields that link faults require.
func (f *Fault) checkLink() error {
	switch f.Kind {
	case KindLoss, KindDuplicate:
		if !(f.Ratio > 0 && f.Ratio <= 1) { // negated so that NaN is rejected
			return fieldError("share", "%v, want more than 0 and at most 1", f.Ratio)
		}
	case KindDelay:
		if f.Delay+f.Jitter <= 0 {
			return fieldError("delay", "missing")
		}
	case KindThrottle:
		if f.BytesPerSecond <= 0 {
			return fieldError("rate", "%d, want more than 0 bytes per second", f.BytesPerSecond)
		}
	default: // requires no field
	}
	return nil
}

// checkProcess checks the fields that process faults require.
func (f *Fault) checkProcess() error {
	switch f.Kind {
	case KindSlowAgent:
		if !(f.Ratio >= 1) { // negated so that NaN is rejected
			return fieldError("share", "%v, want a slowdown factor of at least 1", f.Ratio)
		}
	case KindClockSkew:
		if f.Delay == 0 {
			return fieldError("delay", "missing, want the clock skew")
		}
	case KindPause:
		if f.Duration == 0 {
			return fieldError("for", "a paused process needs a duration after which it resumes")
		}
	case KindDelayedStart:
		return f.checkDelayedStart()
	default: // requires no field
	}
	return nil
}

func (f *Fault) checkDelayedStart() error {
	if f.Start != 0 || f.Duration == 0 {
		return fieldError("for", "%v, at %v: a delayed start begins at 0 and needs a duration", f.Duration, f.Start)
	}
	return nil
}

func checkPattern(key, pattern string, locations []Location) error {
	if !slices.ContainsFunc(locations, func(l Location) bool { return l.matches(pattern) }) {
		return fieldError(key, "no member matches %q", pattern)
	}
	return nil
}

// affects reports whether a link fault affects the traffic from one member to another.
func (f *Fault) affects(from, to *Location) bool {
	if f.Target == AllMembers && f.Peer == AllMembers {
		return true
	}
	if f.matchesLink(from, to) {
		return true
	}
	return !f.OneWay && f.matchesLink(to, from)
}

// matchesLink reports whether from matches the target of the fault and to matches its peer. If the peer is AllMembers,
// it stands for all members outside the target, so that a partition of a zone does not affect the links within the
// zone.
func (f *Fault) matchesLink(from, to *Location) bool {
	if !from.matches(f.Target) || !to.matches(f.Peer) {
		return false
	}
	return f.Peer != AllMembers || !to.matches(f.Target)
}

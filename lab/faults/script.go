package faults

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Kinds of faults. Those of links last; those of processes are done once, and undone at the end where that makes sense.
const (
	KindPartition = "cut"    // nothing passes
	KindLoss      = "loss"   // Share of the datagrams is lost
	KindDuplicate = "double" // Share of them comes twice
	KindDelay     = "delay"  // all are late by Delay and up to Jitter more
	KindThrottle  = "slow"   // streams carry Rate bytes a second
	KindReset     = "reset"  // streams are reset

	KindKill              = "kill"    // SIGKILL; started again at the end, if there is one
	KindPause             = "stop"    // SIGSTOP, and SIGCONT at the end
	KindTerminate         = "term"    // SIGTERM; started again at the end, if there is one
	KindRestart           = "restart" // SIGKILL, and started again at once under the same name
	KindDelayedStart      = "late"    // not started before the end
	KindSlowAgent         = "slowrun" // the agent is Share times slower
	KindUnresponsiveStore = "mute"    // the store of its zone takes calls and answers none
	KindWedge             = "wedge"   // its loop stands still for a while, and the rest of it goes on
	KindClockSkew         = "clock"   // started again with its clock off by Delay, which may be below 0; right again at the end
)

var linkKinds, processKinds = []string{KindPartition, KindLoss, KindDuplicate, KindDelay, KindThrottle, KindReset}, []string{KindKill, KindPause, KindTerminate, KindRestart, KindDelayedStart, KindSlowAgent, KindUnresponsiveStore, KindWedge, KindClockSkew}

// Fault is one thing that goes wrong. Who and To name a member, zone:NAME, region:NAME or * for everybody.
type Fault struct {
	Kind           string        `json:"Kind"`
	Target         string        `json:"Who"`    // whose process, or who sends
	Peer           string        `json:"To"`     // who is sent to; links only, * if empty
	OneWay         bool          `json:"OneWay"` // links: only from Who to To
	Start          time.Duration `json:"At"`
	Duration       time.Duration `json:"For"` // 0 = to the end
	Ratio          float64       `json:"Share"`
	Delay          time.Duration `json:"Delay"`
	Jitter         time.Duration `json:"Jitter"`
	BytesPerSecond int           `json:"Rate"`
}

// AffectsLink reports whether the fault is of what lies between processes.
func (f *Fault) AffectsLink() bool { return slices.Contains(linkKinds, f.Kind) }

// ActiveAt reports whether the fault is in force.
func (f *Fault) ActiveAt(now time.Duration) bool {
	return now >= f.Start && (f.Duration == 0 || now < f.Start+f.Duration)
}

// Location is where a member is.
type Location struct{ Name, Zone, Region string }

// matches reports whether a pattern names the member.
func (p *Location) matches(pattern string) bool {
	if zone, ok := strings.CutPrefix(pattern, "zone:"); ok {
		return p.Zone == zone
	}
	if region, ok := strings.CutPrefix(pattern, "region:"); ok {
		return p.Region == region
	}
	return pattern == "*" || pattern == p.Name
}

// Script is what goes wrong when, and where members are.
type Script struct {
	Faults    []Fault
	Locations []Location
}

// raw is a fault as it is written.
type raw struct {
	Kind   string  `toml:"kind"`
	Who    string  `toml:"who"`
	To     string  `toml:"to"`
	OneWay bool    `toml:"one_way"`
	At     string  `toml:"at"`
	For    string  `toml:"for"`
	Share  float64 `toml:"share"`
	Delay  string  `toml:"delay"`
	Jitter string  `toml:"jitter"`
	Rate   int     `toml:"rate"`
}

// Parse reads a script: a list of tables [[fault]]. An error names the fault and the key.
func Parse(text []byte, places []Location) (*Script, error) {
	var file struct {
		Fault []raw `toml:"fault"`
	}
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(&file); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, errors.New(strict.String())
		}
		return nil, err
	}
	s := &Script{Locations: places}
	for i, r := range file.Fault {
		f, err := r.checked(places)
		if err != nil {
			return nil, fmt.Errorf("fault[%d].%w", i, err)
		}
		s.Faults = append(s.Faults, f)
	}
	return s, nil
}

func (r *raw) checked(places []Location) (f Fault, err error) {
	f = Fault{Kind: r.Kind, Target: r.Who, Peer: r.To, OneWay: r.OneWay, Ratio: r.Share, BytesPerSecond: r.Rate}
	for _, t := range []struct {
		key, text string
		to        *time.Duration
	}{{"at", r.At, &f.Start}, {"for", r.For, &f.Duration}, {"delay", r.Delay, &f.Delay}, {"jitter", r.Jitter, &f.Jitter}} {
		if t.text == "" {
			continue
		}
		if *t.to, err = time.ParseDuration(t.text); err != nil || *t.to < 0 && f.Kind != KindClockSkew {
			return f, fmt.Errorf("%s: %q is no time", t.key, t.text)
		}
	}
	if f.AffectsLink() && f.Peer == "" {
		f.Peer = "*"
	}
	return f, f.Check(places)
}

// Check reports what is wrong with a fault.
func (f *Fault) Check(places []Location) error {
	switch {
	case !f.AffectsLink() && !slices.Contains(processKinds, f.Kind):
		return fmt.Errorf("kind: %q, want one of %s", f.Kind, strings.Join(append(slices.Clone(linkKinds), processKinds...), ", "))
	case !f.AffectsLink() && (f.Peer != "" || f.OneWay):
		return errors.New("to: a fault of a process has no other end")
	case (f.Kind == KindLoss || f.Kind == KindDuplicate) && !(f.Ratio > 0 && f.Ratio <= 1):
		return fmt.Errorf("share: %v, want more than 0 and at most 1", f.Ratio)
	case f.Kind == KindSlowAgent && !(f.Ratio >= 1):
		return fmt.Errorf("share: %v, want at least 1: how many times slower", f.Ratio)
	case f.Kind == KindDelay && f.Delay+f.Jitter <= 0:
		return errors.New("delay: missing")
	case f.Kind == KindThrottle && f.BytesPerSecond <= 0:
		return errors.New("rate: want more than 0 bytes a second")
	case f.Kind == KindDelayedStart && (f.Duration == 0 || f.Start != 0):
		return errors.New("for: a late start is at 0 and has an end")
	case f.Kind == KindClockSkew && f.Delay == 0:
		return errors.New("delay: missing: how far the clock is off")
	case f.Kind == KindPause && f.Duration == 0:
		return errors.New("for: a process that is stopped has to be continued")
	}
	for _, p := range []struct{ key, pattern string }{{"who", f.Target}, {"to", f.Peer}} {
		if p.pattern == "" && p.key == "to" {
			continue
		}
		if !slices.ContainsFunc(places, func(x Location) bool { return x.matches(p.pattern) }) {
			return fmt.Errorf("%s: nobody is %q", p.key, p.pattern)
		}
	}
	return nil
}

// AffectedMembers are the members whose process a fault befalls.
func (s *Script) AffectedMembers(f *Fault) (names []string) {
	for _, p := range s.Locations {
		if p.matches(f.Target) {
			names = append(names, p.Name)
		}
	}
	return names
}

// RulesAt returns what befalls what one member sends to another at now: all faults in force together.
func (s *Script) RulesAt(now time.Duration) func(from, to string) Rule {
	var on []Fault
	for _, f := range s.Faults {
		if f.AffectsLink() && f.ActiveAt(now) {
			on = append(on, f)
		}
	}
	place := map[string]*Location{}
	for i := range s.Locations {
		place[s.Locations[i].Name] = &s.Locations[i]
	}
	return func(from, to string) (r Rule) {
		a, b := place[from], place[to]
		if a == nil || b == nil {
			return r
		}
		for i := range on {
			// A whole zone against everybody is the zone against the others: it is not cut in itself.
			f := &on[i]
			there := a.matches(f.Target) && b.matches(f.Peer) && !(f.Peer == "*" && b.matches(f.Target))
			back := b.matches(f.Target) && a.matches(f.Peer) && !(f.Peer == "*" && a.matches(f.Target))
			if f.Target == "*" && f.Peer == "*" {
				there = true
			}
			if there || back && !f.OneWay {
				r.add(f)
			}
		}
		return r
	}
}

func (r *Rule) add(f *Fault) {
	switch f.Kind {
	case KindPartition:
		r.Partition = true
	case KindLoss:
		r.LossRatio = 1 - (1-r.LossRatio)*(1-f.Ratio)
	case KindDuplicate:
		r.DuplicateRatio = 1 - (1-r.DuplicateRatio)*(1-f.Ratio)
	case KindDelay:
		r.Delay += f.Delay
		r.Jitter += f.Jitter
	case KindThrottle:
		if r.BytesPerSecond == 0 || f.BytesPerSecond < r.BytesPerSecond {
			r.BytesPerSecond = f.BytesPerSecond
		}
	case KindReset:
		r.Reset = true
	}
}

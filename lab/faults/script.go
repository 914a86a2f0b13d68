package faults

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Script is a list of faults, and the members that they may affect.
type Script struct {
	Faults    []Fault
	Locations []Location
}

// raw is a fault as written in a script. Errors of the TOML decoder contain the names of this type and of its fields.
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

// Parse parses a script in TOML: a list of [[fault]] tables. An error names the index of the fault and the key. It
// wraps a FieldError if a value is invalid.
func Parse(text []byte, locations []Location) (*Script, error) {
	var file struct {
		Fault []raw `toml:"fault"`
	}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, errors.New(strict.String()) // the text of strict shows the lines with the unknown keys
		}
		return nil, fmt.Errorf("decode script: %w", err)
	}
	script := &Script{Locations: locations}
	for i := range file.Fault {
		fault, err := file.Fault[i].parse(locations)
		if err != nil {
			return nil, fmt.Errorf("fault[%d].%w", i, err)
		}
		script.Faults = append(script.Faults, fault)
	}
	return script, nil
}

// parse returns the fault after checking it. The peer of a link fault defaults to AllMembers.
func (r *raw) parse(locations []Location) (fault Fault, err error) {
	fault = Fault{
		Kind: Kind(r.Kind), Target: r.Who, Peer: r.To, OneWay: r.OneWay, Ratio: r.Share, BytesPerSecond: r.Rate,
	}
	for _, field := range []struct {
		key, text string
		to        *time.Duration
	}{
		{"at", r.At, &fault.Start},
		{"for", r.For, &fault.Duration},
		{"delay", r.Delay, &fault.Delay},
		{"jitter", r.Jitter, &fault.Jitter},
	} {
		*field.to, err = parseDuration(field.key, field.text)
		if err != nil {
			return fault, err
		}
		if *field.to < 0 && fault.Kind != KindClockSkew {
			return fault, invalidDuration(field.key, field.text)
		}
	}
	if fault.AffectsLink() && fault.Peer == "" {
		fault.Peer = AllMembers
	}
	return fault, fault.Check(locations)
}

// parseDuration parses a duration. The empty text is 0.
func parseDuration(key, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, invalidDuration(key, text)
	}
	return duration, nil
}

func invalidDuration(key, text string) error {
	return fieldError(key, "%q is not a valid duration", text)
}

// AffectedMembers returns the names of the members that match the target of a process fault.
func (s *Script) AffectedMembers(f *Fault) (names []string) {
	for i := range s.Locations {
		if s.Locations[i].matches(f.Target) {
			names = append(names, s.Locations[i].Name)
		}
	}
	return names
}

// RulesAt returns the combined effect of the link faults that are active at now, as a function of the names of sender
// and receiver. Traffic from or to a process that is not a member is not affected.
func (s *Script) RulesAt(now time.Duration) func(from, to string) Rule {
	var active []Fault
	for i := range s.Faults {
		if s.Faults[i].AffectsLink() && s.Faults[i].ActiveAt(now) {
			active = append(active, s.Faults[i])
		}
	}
	locations := map[string]*Location{}
	for i := range s.Locations {
		locations[s.Locations[i].Name] = &s.Locations[i]
	}
	return func(from, to string) (rule Rule) {
		sender := locations[from]
		receiver := locations[to]
		if sender == nil || receiver == nil {
			return Rule{}
		}
		for i := range active {
			if active[i].affects(sender, receiver) {
				rule.add(&active[i])
			}
		}
		return rule
	}
}

// Rule is the combined effect of faults on the traffic from one process to another. The zero value has no effect.
type Rule struct {
	Partition      bool          // nothing arrives
	LossRatio      float64       // fraction of datagrams that are lost, from 0 to 1
	DuplicateRatio float64       // fraction of datagrams that arrive twice, from 0 to 1
	Delay          time.Duration // of each datagram, and of each chunk of a stream
	Jitter         time.Duration // maximum additional delay of a datagram; datagrams may overtake one another
	BytesPerSecond int           // maximum rate of each direction of a stream; 0 = unlimited
	Reset          bool          // streams are reset: new ones at once, open ones when they next carry data
}

// add adds the effect of a link fault to the rule. Losses and duplications are independent of each other, delays add
// up, and the lowest rate applies.
func (r *Rule) add(fault *Fault) {
	switch fault.Kind {
	case KindPartition:
		r.Partition = true
	case KindLoss:
		r.LossRatio = 1 - (1-r.LossRatio)*(1-fault.Ratio)
	case KindDuplicate:
		r.DuplicateRatio = 1 - (1-r.DuplicateRatio)*(1-fault.Ratio)
	case KindDelay:
		r.Delay += fault.Delay
		r.Jitter += fault.Jitter
	case KindThrottle:
		if r.BytesPerSecond == 0 || fault.BytesPerSecond < r.BytesPerSecond {
			r.BytesPerSecond = fault.BytesPerSecond
		}
	case KindReset:
		r.Reset = true
	default: // a process fault
	}
}

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

// raw is a fault as it stands in a script. Errors of the decoder print the names of the type and its fields.
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

// Parse reads a script in TOML: a list of tables [[fault]]. An error names the fault and the key; it wraps a
// FieldError where the value does not make sense.
func Parse(text []byte, locations []Location) (*Script, error) {
	var file struct {
		Fault []raw `toml:"fault"`
	}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, errors.New(strict.String()) // its text shows the unknown keys in their lines
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

// parseDuration reads a duration; 0 where there is none.
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

// AffectedMembers returns the names of the members whose process a fault affects.
func (s *Script) AffectedMembers(f *Fault) (names []string) {
	for i := range s.Locations {
		if s.Locations[i].matches(f.Target) {
			names = append(names, s.Locations[i].Name)
		}
	}
	return names
}

// RulesAt returns the rules that the faults of links make together at a time. Traffic with a process that is no
// member is not affected.
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

// Rule is the effect of faults on the traffic from one process to another. The zero value is none.
type Rule struct {
	Partition      bool
	LossRatio      float64       // of datagrams that are lost, from 0 to 1
	DuplicateRatio float64       // of datagrams that arrive twice, from 0 to 1
	Delay          time.Duration // of datagrams, and of each chunk that a stream carries
	Jitter         time.Duration // up to which datagrams are delayed further, so that they overtake one another
	BytesPerSecond int           // that each stream carries at most; 0 = no bound
	Reset          bool          // streams are reset, open ones and new ones
}

// add adds a fault of links to the rule. Losses are independent of each other, delays add up, and the lowest rate
// counts.
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
	default: // of a process
	}
}

// Package release decides how the rollout of a new version goes on. So far it holds the canary analysis: it compares
// the new version (the canary) with the old one (the baseline) while both serve the same zones and classes. It has no
// I/O, clock or randomness.
package release

import (
	"errors"
	"fmt"
	"math"
)

// maxGroups bounds what a Judge keeps.
const maxGroups = 512

// Errors of Judge.Observe.
var (
	ErrInvalidBlock  = errors.New("more bad requests than requests")
	ErrTooManyGroups = fmt.Errorf("limit of %d groups reached", maxGroups)
)

// Group is a part of the traffic that is compared separately: a new version may be bad in one class only. Metric is what
// went wrong: failed, late, poorer, crashed.
type Group struct{ Zone, Class, Metric string }

// Block counts the requests of one group over the same time at instances of both versions.
type Block struct {
	Old, OldBad int // of the baseline: requests, and those of them that went wrong
	New, NewBad int // of the canary
}

// valid reports whether the counts are possible.
func (b *Block) valid() bool {
	return b.OldBad >= 0 && b.OldBad <= b.Old && b.NewBad >= 0 && b.NewBad <= b.New
}

// Verdict is what is known of a new version so far.
type Verdict uint8

// The verdicts.
const (
	Inconclusive Verdict = iota // too few requests so far
	Passed                      // enough requests, and it is not worse by MinEffect
	Rejected                    // it is worse
)

func (v Verdict) String() string { return [...]string{"inconclusive", "passed", "rejected"}[v] }

// Judge compares two versions block by block with e-processes: products of e-variables for two binomials (Turner, Ly and
// Grünwald, 2021). The chance that one ever exceeds 1/a under the hypothesis that it speaks against is at most a, however
// often it is looked at (Ville's inequality), so that the rate of false halts holds for the whole rollout without a fixed
// number of looks. Groups are combined by their mean, which is an e-process again.
//
// A Judge is not safe for concurrent use.
type Judge struct {
	criteria Criteria
	groups   map[Group]*evidence
	order    []Group // in which they were first observed
}

// NewJudge returns a Judge that has observed nothing. Criteria that bound nothing are an error.
func NewJudge(criteria Criteria) (*Judge, error) {
	if err := criteria.check(); err != nil {
		return nil, err
	}
	return &Judge{criteria: criteria, groups: map[Group]*evidence{}}, nil
}

// Observe adds a block. It returns an error that wraps ErrInvalidBlock or ErrTooManyGroups where it changed nothing.
func (j *Judge) Observe(group Group, block Block) error {
	if !block.valid() {
		return fmt.Errorf("group %+v, block %+v: %w", group, block, ErrInvalidBlock)
	}
	observed, err := j.evidenceOf(group)
	if err != nil {
		return err
	}
	observed.add(block, j.criteria.MinEffect)
	return nil
}

// evidenceOf returns the evidence of a group, which may be a new one.
func (j *Judge) evidenceOf(group Group) (*evidence, error) {
	if known, ok := j.groups[group]; ok {
		return known, nil
	}
	if len(j.groups) >= maxGroups {
		return nil, fmt.Errorf("group %+v: %w", group, ErrTooManyGroups)
	}
	added := &evidence{}
	j.groups[group] = added
	j.order = append(j.order, group)
	return added, nil
}

// Verdict returns what is known so far, and the group with the strongest evidence against the new version.
func (j *Judge) Verdict() (Verdict, Group) {
	if len(j.order) == 0 {
		return Inconclusive, Group{}
	}
	worst, highest, passed := j.order[0], math.Inf(-1), true
	logsWorse := make([]float64, 0, len(j.order))
	for _, group := range j.order {
		observed := j.groups[group]
		logsWorse = append(logsWorse, observed.logWorse)
		if observed.logWorse > highest {
			worst, highest = group, observed.logWorse
		}
		passed = passed && observed.passes(j.criteria)
	}
	switch {
	case logMean(logsWorse) >= math.Log(1/j.criteria.FalseHaltRate):
		return Rejected, worst
	case passed:
		return Passed, worst
	}
	return Inconclusive, worst
}

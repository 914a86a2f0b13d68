// Package release implements the canary analysis of a rollout. It compares the new version (the canary) with the old one
// (the baseline) while both serve the same zones and classes. It has no I/O, clock or randomness.
package release

import (
	"errors"
	"fmt"
	"math"
)

// maxGroups bounds the number of groups of a Judge.
const maxGroups = 512

// Errors of Judge.Observe.
var (
	ErrInvalidBlock  = errors.New("negative count, or more bad requests than requests")
	ErrTooManyGroups = fmt.Errorf("limit of %d groups reached", maxGroups)
)

// Group is a part of the traffic that is compared separately, as a new version may be worse in one class only. Metric
// defines which requests count as bad: those that failed, were late, got a poorer answer or crashed the instance.
type Group struct{ Zone, Class, Metric string }

// Block counts the requests of one group that instances of both versions have served over the same time.
type Block struct {
	Baseline, BaselineBad int // requests of the baseline, and how many of these were bad
	Canary, CanaryBad     int // requests of the canary, and how many of these were bad
}

// valid reports whether no count is negative and no version has more bad requests than requests.
func (b *Block) valid() bool {
	return b.BaselineBad >= 0 && b.BaselineBad <= b.Baseline && b.CanaryBad >= 0 && b.CanaryBad <= b.Canary
}

// Verdict is the result of a canary analysis so far.
type Verdict uint8

// The verdicts.
const (
	Inconclusive Verdict = iota // too few requests, or too little evidence
	Passed                      // in each group, the canary had enough requests and is not worse by MinEffect
	Rejected                    // the canary is worse
)

// String returns the name of the verdict as operators see it.
func (v Verdict) String() string { return [...]string{"inconclusive", "passed", "rejected"}[v] }

// Judge compares two versions by a sequential test, which may be evaluated after each block:
//
//   - Each group has two e-processes: products of e-variables for two binomials (Turner, Ly and Grünwald, 2021). One
//     measures the evidence that the canary is worse, the other the evidence that it is not worse by MinEffect.
//   - The probability that an e-process ever reaches 1/a although its null hypothesis is true is at most a, however often
//     it is evaluated (Ville's inequality). The false halt rate therefore holds for the whole rollout.
//   - The canary is rejected by the mean of the first e-process over the groups, which is an e-process again. It passes if
//     in each group the canary had at least MinRequests requests and the second e-process reaches 1/FalsePassRate.
//
// A Judge is not safe for concurrent use.
type Judge struct {
	criteria Criteria
	groups   map[Group]*evidence
	order    []Group // groups in the order in which they were first observed
}

// NewJudge returns a Judge without any blocks. It returns an error if a field of criteria is out of its range.
func NewJudge(criteria Criteria) (*Judge, error) {
	if err := criteria.check(); err != nil {
		return nil, err
	}
	return &Judge{criteria: criteria, groups: map[Group]*evidence{}}, nil
}

// Observe adds a block to a group. If it cannot, it changes nothing and returns an error that wraps ErrInvalidBlock or
// ErrTooManyGroups.
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

// evidenceOf returns the evidence of a group. It adds the group if it is new and fewer than maxGroups are known.
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

// Verdict returns the verdict on the blocks observed so far, and the group with the strongest evidence that the canary is
// worse. Further blocks may change the verdict.
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

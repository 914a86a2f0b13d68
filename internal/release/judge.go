// Package release decides how a release goes on. This first piece judges a new version against the old one while both
// serve the same zones and classes at the same time. It has no I/O, clock or chance.
package release

import (
	"fmt"
	"math"
	"slices"
)

// Group is a part of the traffic that is compared by itself: a new version may be bad in one class only.
type Group struct{ Zone, Class, Metric string } // What: failed, late, poorer, crashed

// Block is what one group saw over the same time from instances of the old version and of the new one.
type Block struct {
	Old, OldBad int // requests, and those of them that went wrong
	New, NewBad int
}

// Verdict is what is known of a new version so far.
type Verdict uint8

const (
	Inconclusive Verdict = iota // too little was seen; never 'good'
	Passed                      // enough was seen, and it is no worse by as much as counts
	Rejected
)

func (v Verdict) String() string { return [...]string{"can't tell", "good", "bad"}[v] }

// Criteria bound the judgement.
type Criteria struct {
	FalseHaltRate float64 // chance to halt a version that is no worse, over the whole of a release and however often it is looked at
	MinEffect     float64 // by how much a share that goes wrong must be higher to count: 0.02 is two in a hundred
	MinRequests   int     // requests of the new version, in each group that has any, before it can be good
	FalsePassRate float64 // chance to call a version good that is worse by Counts, in each group
}

// Bounds and priors.
const (
	maxGroups      = 512
	bisectionSteps = 50
	jeffreysPrior  = 0.5 // beta prior on each share before anything was seen (Jeffreys)
)

// evidence is a group's: the logarithms of two e-processes, and what was seen so far.
type evidence struct {
	logWorse    float64 // that the new version is worse than the old one
	logNotWorse float64 // that it is not worse by Counts
	baseline    [2]float64
	canary      [2]float64 // good and bad
}

// Judge compares two versions block by block with e-processes: products of e-variables for two binomials (Turner, Ly and
// Grünwald, 2021), whose chance ever to pass 1/a under the hypothesis they speak against is at most a, however often they
// are looked at (Ville's inequality). So the chance of a wrong halt holds for the whole release, without a fixed number of
// looks. Groups are joined by their mean, which is an e-process again. It belongs to one goroutine.
type Judge struct {
	criteria Criteria
	groups   map[Group]*evidence
	order    []Group
}

// NewJudge begins with nothing seen.
func NewJudge(criteria Criteria) (*Judge, error) {
	switch {
	case !(criteria.FalseHaltRate > 0 && criteria.FalseHaltRate < 1):
		return nil, fmt.Errorf("wrong: %v is not between 0 and 1", criteria.FalseHaltRate)
	case !(criteria.FalsePassRate > 0 && criteria.FalsePassRate < 1):
		return nil, fmt.Errorf("sure: %v is not between 0 and 1", criteria.FalsePassRate)
	case !(criteria.MinEffect > 0 && criteria.MinEffect < 1):
		return nil, fmt.Errorf("counts: %v is not between 0 and 1", criteria.MinEffect)
	case criteria.MinRequests < 1:
		return nil, fmt.Errorf("least: %d", criteria.MinRequests)
	}
	return &Judge{criteria: criteria, groups: map[Group]*evidence{}}, nil
}

// Observe takes in a block. One that makes no sense is an error, and changes nothing.
func (j *Judge) Observe(group Group, block Block) error {
	if block.Old < 0 || block.New < 0 || block.OldBad < 0 || block.NewBad < 0 || block.OldBad > block.Old || block.NewBad > block.New {
		return fmt.Errorf("%v: %+v counts more wrong than there were", group, block)
	}
	groupEvidence := j.groups[group]
	if groupEvidence == nil {
		if len(j.groups) >= maxGroups {
			return fmt.Errorf("%v: more than %d groups", group, maxGroups)
		}
		groupEvidence = &evidence{}
		j.groups[group] = groupEvidence
		j.order = append(j.order, group)
	}
	if block.Old > 0 && block.New > 0 { // one side alone compares nothing
		baselineRatio, canaryRatio := errorRatio(groupEvidence.baseline), errorRatio(groupEvidence.canary)
		// Against 'no worse': what was seen before is the alternative, where it is worse by as much as counts.
		if worse := max(canaryRatio, baselineRatio+j.criteria.MinEffect/2); worse < 1 {
			groupEvidence.logWorse += logEValue(block, baselineRatio, worse, 0)
		}
		// Against 'worse by Counts': the alternative is that both are alike.
		if same := (baselineRatio*float64(block.Old) + canaryRatio*float64(block.New)) / float64(block.Old+block.New); same > 0 && same < 1 {
			groupEvidence.logNotWorse += logEValue(block, same, same, j.criteria.MinEffect)
		}
	}
	groupEvidence.baseline[0] += float64(block.Old - block.OldBad)
	groupEvidence.baseline[1] += float64(block.OldBad)
	groupEvidence.canary[0] += float64(block.New - block.NewBad)
	groupEvidence.canary[1] += float64(block.NewBad)
	return nil
}

func errorRatio(counts [2]float64) float64 {
	return (counts[1] + jeffreysPrior) / (counts[0] + counts[1] + 2*jeffreysPrior)
}

// logEValue is the logarithm of the e-variable of a block for shares po and pn, against the hypothesis that the new share is
// that of the old one plus apart, whatever that is: the ratio to the point of the hypothesis that is nearest to the
// alternative (its reverse information projection).
func logEValue(block Block, baselineRatio, canaryRatio, effect float64) float64 {
	baselineCount, canaryCount := float64(block.Old), float64(block.New)
	low, high := 1e-9, 1-effect-1e-9
	for range bisectionSteps { // the divergence is convex along the border, so that its slope has one zero
		nearest := (low + high) / 2
		if baselineCount*(nearest-baselineRatio)/(nearest*(1-nearest))+canaryCount*(nearest+effect-canaryRatio)/((nearest+effect)*(1-nearest-effect)) > 0 {
			high = nearest
		} else {
			low = nearest
		}
	}
	nearest := (low + high) / 2
	baselineBad, canaryBad := float64(block.OldBad), float64(block.NewBad)
	logLikelihood := func(p, k, n float64) float64 {
		p = min(max(p, 1e-12), 1-1e-12)
		return k*math.Log(p) + (n-k)*math.Log(1-p)
	}
	return logLikelihood(baselineRatio, baselineBad, baselineCount) + logLikelihood(canaryRatio, canaryBad, canaryCount) - logLikelihood(nearest, baselineBad, baselineCount) - logLikelihood(nearest+effect, canaryBad, canaryCount)
}

// Verdict says what is known, and of which group it is said: the worst one.
func (j *Judge) Verdict() (Verdict, Group) {
	if len(j.order) == 0 {
		return Inconclusive, Group{}
	}
	worst, highest, passed := j.order[0], math.Inf(-1), true
	logs := make([]float64, 0, len(j.order))
	for _, g := range j.order {
		e := j.groups[g]
		logs = append(logs, e.logWorse)
		if e.logWorse > highest {
			worst, highest = g, e.logWorse
		}
		if e.canary[0]+e.canary[1] < float64(j.criteria.MinRequests) || e.logNotWorse < math.Log(1/j.criteria.FalsePassRate) {
			passed = false
		}
	}
	switch {
	case logMean(logs) >= math.Log(1/j.criteria.FalseHaltRate):
		return Rejected, worst
	case passed:
		return Passed, worst
	}
	return Inconclusive, worst
}

// logMean is the logarithm of the mean of numbers that are given by theirs.
func logMean(logs []float64) float64 {
	highest := slices.Max(logs)
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - highest)
	}
	return highest + math.Log(sum/float64(len(logs)))
}

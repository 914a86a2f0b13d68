// Package release decides how a release goes on. This first piece judges a new version against the old one while both
// serve the same zones and classes at the same time. It has no I/O, clock or chance.
package release

import (
	"fmt"
	"math"
	"slices"
)

// Group is a part of the traffic that is compared by itself: a new version may be bad in one class only.
type Group struct{ Zone, Class, What string } // What: failed, late, poorer, crashed

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

// Terms bound the judgement.
type Terms struct {
	FalseHaltRate float64 // chance to halt a version that is no worse, over the whole of a release and however often it is looked at
	MinEffect     float64 // by how much a share that goes wrong must be higher to count: 0.02 is two in a hundred
	MinRequests   int     // requests of the new version, in each group that has any, before it can be good
	FalsePassRate float64 // chance to call a version good that is worse by Counts, in each group
}

// Bounds and priors.
const (
	mostGroups = 512
	bisections = 50
	prior      = 0.5 // beta prior on each share before anything was seen (Jeffreys)
)

// evidence is a group's: the logarithms of two e-processes, and what was seen so far.
type evidence struct {
	worse float64 // that the new version is worse than the old one
	fine  float64 // that it is not worse by Counts
	old   [2]float64
	new   [2]float64 // good and bad
}

// Judge compares two versions block by block with e-processes: products of e-variables for two binomials (Turner, Ly and
// Grünwald, 2021), whose chance ever to pass 1/a under the hypothesis they speak against is at most a, however often they
// are looked at (Ville's inequality). So the chance of a wrong halt holds for the whole release, without a fixed number of
// looks. Groups are joined by their mean, which is an e-process again. It belongs to one goroutine.
type Judge struct {
	terms  Terms
	groups map[Group]*evidence
	order  []Group
}

// NewJudge begins with nothing seen.
func NewJudge(t Terms) (*Judge, error) {
	switch {
	case !(t.FalseHaltRate > 0 && t.FalseHaltRate < 1):
		return nil, fmt.Errorf("wrong: %v is not between 0 and 1", t.FalseHaltRate)
	case !(t.FalsePassRate > 0 && t.FalsePassRate < 1):
		return nil, fmt.Errorf("sure: %v is not between 0 and 1", t.FalsePassRate)
	case !(t.MinEffect > 0 && t.MinEffect < 1):
		return nil, fmt.Errorf("counts: %v is not between 0 and 1", t.MinEffect)
	case t.MinRequests < 1:
		return nil, fmt.Errorf("least: %d", t.MinRequests)
	}
	return &Judge{terms: t, groups: map[Group]*evidence{}}, nil
}

// Observe takes in a block. One that makes no sense is an error, and changes nothing.
func (j *Judge) Observe(g Group, b Block) error {
	if b.Old < 0 || b.New < 0 || b.OldBad < 0 || b.NewBad < 0 || b.OldBad > b.Old || b.NewBad > b.New {
		return fmt.Errorf("%v: %+v counts more wrong than there were", g, b)
	}
	e := j.groups[g]
	if e == nil {
		if len(j.groups) >= mostGroups {
			return fmt.Errorf("%v: more than %d groups", g, mostGroups)
		}
		e = &evidence{}
		j.groups[g] = e
		j.order = append(j.order, g)
	}
	if b.Old > 0 && b.New > 0 { // one side alone compares nothing
		po, pn := share(e.old), share(e.new)
		// Against 'no worse': what was seen before is the alternative, where it is worse by as much as counts.
		if worse := max(pn, po+j.terms.MinEffect/2); worse < 1 {
			e.worse += logE(b, po, worse, 0)
		}
		// Against 'worse by Counts': the alternative is that both are alike.
		if same := (po*float64(b.Old) + pn*float64(b.New)) / float64(b.Old+b.New); same > 0 && same < 1 {
			e.fine += logE(b, same, same, j.terms.MinEffect)
		}
	}
	e.old[0] += float64(b.Old - b.OldBad)
	e.old[1] += float64(b.OldBad)
	e.new[0] += float64(b.New - b.NewBad)
	e.new[1] += float64(b.NewBad)
	return nil
}

func share(seen [2]float64) float64 { return (seen[1] + prior) / (seen[0] + seen[1] + 2*prior) }

// logE is the logarithm of the e-variable of a block for shares po and pn, against the hypothesis that the new share is
// that of the old one plus apart, whatever that is: the ratio to the point of the hypothesis that is nearest to the
// alternative (its reverse information projection).
func logE(b Block, po, pn, apart float64) float64 {
	no, nn := float64(b.Old), float64(b.New)
	low, high := 1e-9, 1-apart-1e-9
	for range bisections { // the divergence is convex along the border, so that its slope has one zero
		q := (low + high) / 2
		if no*(q-po)/(q*(1-q))+nn*(q+apart-pn)/((q+apart)*(1-q-apart)) > 0 {
			high = q
		} else {
			low = q
		}
	}
	q := (low + high) / 2
	ko, kn := float64(b.OldBad), float64(b.NewBad)
	ll := func(p, k, n float64) float64 {
		p = min(max(p, 1e-12), 1-1e-12)
		return k*math.Log(p) + (n-k)*math.Log(1-p)
	}
	return ll(po, ko, no) + ll(pn, kn, nn) - ll(q, ko, no) - ll(q+apart, kn, nn)
}

// Verdict says what is known, and of which group it is said: the worst one.
func (j *Judge) Verdict() (Verdict, Group) {
	if len(j.order) == 0 {
		return Inconclusive, Group{}
	}
	worst, most, good := j.order[0], math.Inf(-1), true
	logs := make([]float64, 0, len(j.order))
	for _, g := range j.order {
		e := j.groups[g]
		logs = append(logs, e.worse)
		if e.worse > most {
			worst, most = g, e.worse
		}
		if e.new[0]+e.new[1] < float64(j.terms.MinRequests) || e.fine < math.Log(1/j.terms.FalsePassRate) {
			good = false
		}
	}
	switch {
	case logMean(logs) >= math.Log(1/j.terms.FalseHaltRate):
		return Rejected, worst
	case good:
		return Passed, worst
	}
	return Inconclusive, worst
}

// logMean is the logarithm of the mean of numbers that are given by theirs.
func logMean(logs []float64) float64 {
	most := slices.Max(logs)
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - most)
	}
	return most + math.Log(sum/float64(len(logs)))
}

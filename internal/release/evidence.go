package release

import (
	"math"
	"slices"
)

const (
	jeffreysPrior  = 0.5 // parameter of the beta prior on each error ratio
	bisectionSteps = 50
	// Ratios stay this far from 0 and 1, where a divergence or logarithm is infinite.
	minProjectedRatio  = 1e-9
	minLikelihoodRatio = 1e-12
)

// tally counts the requests of one version in a group.
type tally struct{ succeeded, failed float64 }

func (t *tally) add(requests, bad int) {
	t.succeeded += float64(requests - bad)
	t.failed += float64(bad)
}

func (t *tally) requests() float64 { return t.succeeded + t.failed }

// errorRatio returns the posterior mean of the ratio of requests that go wrong.
func (t *tally) errorRatio() float64 {
	return (t.failed + jeffreysPrior) / (t.succeeded + t.failed + 2*jeffreysPrior)
}

// evidence is that of one group: the logarithms of two e-processes, and the requests so far.
type evidence struct {
	logWorse         float64 // that the canary is worse than the baseline
	logNotWorse      float64 // that it is not worse by Criteria.MinEffect
	baseline, canary tally
}

// add adds a block, for a Criteria.MinEffect of minEffect.
func (e *evidence) add(block Block, minEffect float64) {
	if block.Old > 0 && block.New > 0 { // one version alone compares nothing
		e.compare(block, minEffect)
	}
	e.baseline.add(block.Old, block.OldBad)
	e.canary.add(block.New, block.NewBad)
}

// compare multiplies both e-processes by the e-variables of a block. The alternatives come from earlier blocks only.
func (e *evidence) compare(block Block, minEffect float64) {
	baselineRatio, canaryRatio := e.baseline.errorRatio(), e.canary.errorRatio()
	// Against "no worse": the alternative is what was observed so far, where it is worse by an effect that matters.
	if worse := max(canaryRatio, baselineRatio+minEffect/2); worse < 1 {
		e.logWorse += logEValue(block, baselineRatio, worse, 0)
	}
	// Against "worse by MinEffect": the alternative is that both versions are alike.
	requests := float64(block.Old + block.New)
	same := (baselineRatio*float64(block.Old) + canaryRatio*float64(block.New)) / requests
	if same > 0 && same < 1 {
		e.logNotWorse += logEValue(block, same, same, minEffect)
	}
}

// passes reports whether the canary had enough requests in the group, and is not worse by MinEffect.
func (e *evidence) passes(criteria Criteria) bool {
	enough := e.canary.requests() >= float64(criteria.MinRequests)
	return enough && e.logNotWorse >= math.Log(1/criteria.FalsePassRate)
}

// logEValue returns the logarithm of the e-variable of a block. The alternative is the pair of error ratios; the
// hypothesis is that the canary's ratio is that of the baseline, whatever it is, plus effect. The e-variable is the
// likelihood ratio to the point of the hypothesis that is nearest to the alternative, its reverse information projection.
func logEValue(block Block, baselineRatio, canaryRatio, effect float64) float64 {
	baselineCount, canaryCount := float64(block.Old), float64(block.New)
	slope := func(ratio float64) float64 { // of the divergence along the hypothesis
		shifted := ratio + effect
		return baselineCount*(ratio-baselineRatio)/(ratio*(1-ratio)) +
			canaryCount*(shifted-canaryRatio)/(shifted*(1-ratio-effect))
	}
	nearest := bisect(slope, minProjectedRatio, 1-effect-minProjectedRatio)
	baselineBad, canaryBad := float64(block.OldBad), float64(block.NewBad)
	return logLikelihood(baselineRatio, baselineBad, baselineCount) +
		logLikelihood(canaryRatio, canaryBad, canaryCount) -
		logLikelihood(nearest, baselineBad, baselineCount) -
		logLikelihood(nearest+effect, canaryBad, canaryCount)
}

// bisect returns the zero between low and high of a function that grows, such as the slope of a convex one.
func bisect(slope func(float64) float64, low, high float64) float64 {
	for range bisectionSteps {
		middle := (low + high) / 2
		if slope(middle) > 0 {
			high = middle
		} else {
			low = middle
		}
	}
	return (low + high) / 2
}

// logLikelihood returns that of so many bad requests of all, but for the binomial coefficient, which cancels out.
func logLikelihood(ratio, bad, all float64) float64 {
	ratio = min(max(ratio, minLikelihoodRatio), 1-minLikelihoodRatio)
	return bad*math.Log(ratio) + (all-bad)*math.Log(1-ratio)
}

// logMean returns the logarithm of the mean of numbers that are given by their logarithms.
func logMean(logs []float64) float64 {
	highest := slices.Max(logs)
	sum := 0.0
	for _, log := range logs {
		sum += math.Exp(log - highest)
	}
	return highest + math.Log(sum/float64(len(logs)))
}

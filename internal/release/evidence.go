package release

import (
	"math"
	"slices"
)

const (
	jeffreysPrior  = 0.5 // both parameters of the beta prior on an error ratio
	bisectionSteps = 50  // halvings of the interval in bisect

	// Error ratios are kept this far from 0 and 1, where a divergence or a logarithm is infinite.
	minProjectedRatio  = 1e-9  // in the search for the nearest point of the null hypothesis
	minLikelihoodRatio = 1e-12 // in a likelihood
)

// tally counts the requests that one version has served in a group.
type tally struct{ succeeded, failed float64 }

// add adds a number of requests, including the given number of bad ones.
func (t *tally) add(requests, bad int) {
	t.succeeded += float64(requests - bad)
	t.failed += float64(bad)
}

func (t *tally) requests() float64 { return t.succeeded + t.failed }

// errorRatio returns the posterior mean of the ratio of bad requests. It is above 0 and below 1.
func (t *tally) errorRatio() float64 {
	return (t.failed + jeffreysPrior) / (t.succeeded + t.failed + 2*jeffreysPrior)
}

// evidence is the evidence of one group: the logarithms of two e-processes, and the requests so far.
type evidence struct {
	logWorse         float64 // evidence that the canary is worse than the baseline
	logNotWorse      float64 // evidence that the canary is not worse than the baseline by Criteria.MinEffect
	baseline, canary tally   // requests of the blocks added so far
}

// add adds a block. minEffect is Criteria.MinEffect.
func (e *evidence) add(block Block, minEffect float64) {
	if block.Baseline > 0 && block.Canary > 0 { // a block of one version only is no comparison
		e.compare(block, minEffect)
	}
	e.baseline.add(block.Baseline, block.BaselineBad)
	e.canary.add(block.Canary, block.CanaryBad)
}

// compare multiplies both e-processes by the e-variables of a block. The alternatives are computed from earlier blocks
// only: an e-variable must not depend on the block that it is evaluated on.
func (e *evidence) compare(block Block, minEffect float64) {
	baselineRatio, canaryRatio := e.baseline.errorRatio(), e.canary.errorRatio()
	// Against "not worse": the null hypothesis is that both versions have the same error ratio. In the alternative, they have
	// the ratios observed so far, but the canary's is raised to the baseline's plus minEffect/2 if it is lower.
	if worse := max(canaryRatio, baselineRatio+minEffect/2); worse < 1 {
		e.logWorse += logEValue(block, baselineRatio, worse, 0)
	}
	// Against "worse by minEffect": the null hypothesis is that the canary's error ratio is the baseline's plus minEffect. In
	// the alternative, both have the same ratio: the mean of the two observed so far, weighted by the requests of the block.
	requests := float64(block.Baseline + block.Canary)
	same := (baselineRatio*float64(block.Baseline) + canaryRatio*float64(block.Canary)) / requests
	if same > 0 && same < 1 {
		e.logNotWorse += logEValue(block, same, same, minEffect)
	}
}

// passes reports whether the canary had enough requests in the group, and whether the evidence that it is not worse by
// MinEffect is strong enough.
func (e *evidence) passes(criteria Criteria) bool {
	enough := e.canary.requests() >= float64(criteria.MinRequests)
	return enough && e.logNotWorse >= math.Log(1/criteria.FalsePassRate)
}

// logEValue returns the logarithm of the e-variable of a block. The alternative is the given pair of error ratios. The null
// hypothesis is that the canary's error ratio is the baseline's, whatever that is, plus effect. The e-variable is the
// likelihood ratio of the alternative to the nearest point of the null hypothesis, its reverse information projection.
func logEValue(block Block, baselineRatio, canaryRatio, effect float64) float64 {
	baselineCount, canaryCount := float64(block.Baseline), float64(block.Canary)
	slope := func(ratio float64) float64 { // slope of the Kullback-Leibler divergence along the null hypothesis
		shifted := ratio + effect
		return baselineCount*(ratio-baselineRatio)/(ratio*(1-ratio)) +
			canaryCount*(shifted-canaryRatio)/(shifted*(1-ratio-effect))
	}
	nearest := bisect(slope, minProjectedRatio, 1-effect-minProjectedRatio)
	baselineBad, canaryBad := float64(block.BaselineBad), float64(block.CanaryBad)
	return logLikelihood(baselineRatio, baselineBad, baselineCount) +
		logLikelihood(canaryRatio, canaryBad, canaryCount) -
		logLikelihood(nearest, baselineBad, baselineCount) -
		logLikelihood(nearest+effect, canaryBad, canaryCount)
}

// bisect returns the zero of an increasing function between low and high, such as the slope of a convex function.
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

// logLikelihood returns the logarithm of the likelihood of bad requests among all, given the error ratio. It omits the
// binomial coefficient, which cancels out in a likelihood ratio.
func logLikelihood(ratio, bad, all float64) float64 {
	ratio = min(max(ratio, minLikelihoodRatio), 1-minLikelihoodRatio)
	return bad*math.Log(ratio) + (all-bad)*math.Log(1-ratio)
}

// logMean returns the logarithm of the mean of the numbers whose logarithms are given. It does not overflow.
func logMean(logs []float64) float64 {
	highest := slices.Max(logs)
	sum := 0.0
	for _, log := range logs {
		sum += math.Exp(log - highest)
	}
	return highest + math.Log(sum/float64(len(logs)))
}

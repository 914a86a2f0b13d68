package permit

import (
	"fmt"

	"falldeal/internal/configcheck"
)

// Domain is the part of the fleet for which a limit is counted separately.
type Domain string

// The domains of a Limit.
const (
	WholeFleet Domain = "" // one count for all instances that the limit selects
	PerZone    Domain = "zone"
	PerRegion  Domain = "region"
)

// Limit bounds how many instances may be unavailable at once, by permit or lost. An instance that several limits select
// has to satisfy all of them.
type Limit struct {
	Region, Zone        string  // the instances it selects; empty: any
	Per                 Domain  // in which they are counted
	MaxUnavailable      int     // instances; 0: MaxUnavailableRatio holds
	MaxUnavailableRatio float64 // of the instances in the domain, 0 to 1
}

// Rules are set by operators. Only a version above the one in force replaces it.
type Rules struct {
	Version uint64
	Limits  []Limit
	Margin  float64 // part of the remaining capacity that the load must not take, 0 up to but not including 1
}

// Check returns a *configcheck.KeyError for rules that make no sense.
func (r *Rules) Check() error {
	if !(r.Margin >= 0 && r.Margin < 1) {
		return configcheck.Errorf("margin", "%v is not between 0 and 1", r.Margin)
	}
	if len(r.Limits) == 0 {
		return &configcheck.KeyError{Key: "limits", Err: configcheck.ErrMissing}
	}
	for i := range r.Limits {
		if err := r.Limits[i].check(fmt.Sprintf("limits[%d]", i)); err != nil {
			return err
		}
	}
	return nil
}

// check returns a *configcheck.KeyError for a limit that makes no sense. Key is that of the limit.
func (l *Limit) check(key string) error {
	switch l.Per {
	case WholeFleet, PerZone, PerRegion:
	default:
		return configcheck.Errorf(key+".each", "%q is neither zone nor region", l.Per)
	}
	if l.MaxUnavailable < 0 || (l.MaxUnavailable > 0) == (l.MaxUnavailableRatio > 0) {
		return configcheck.Errorf(key, "set exactly one of out and share")
	}
	if !(l.MaxUnavailableRatio >= 0 && l.MaxUnavailableRatio <= 1) {
		return configcheck.Errorf(key+".share", "%v is not between 0 and 1", l.MaxUnavailableRatio)
	}
	return nil
}

// selects reports whether an instance counts for the limit.
func (l *Limit) selects(instance Instance) bool {
	inRegion := l.Region == "" || l.Region == instance.Region
	inZone := l.Zone == "" || l.Zone == instance.Zone
	return inRegion && inZone
}

// domainOf returns the domain in which an instance is counted. ok is false where the limit does not select it.
func (l *Limit) domainOf(instance Instance) (domain string, ok bool) {
	if !l.selects(instance) {
		return "", false
	}
	switch l.Per {
	case PerZone:
		return instance.Region + "/" + instance.Zone, true
	case PerRegion:
		return instance.Region, true
	case WholeFleet:
	}
	return "all", true
}

// maxUnavailable returns how many of so many instances may be unavailable. A ratio is rounded down, so that it is never
// exceeded.
func (l *Limit) maxUnavailable(instances int) int {
	if l.MaxUnavailable > 0 {
		return l.MaxUnavailable
	}
	return int(l.MaxUnavailableRatio * float64(instances))
}

package permit

import (
	"fmt"

	"falldeal/internal/configcheck"
)

// Domain is the kind of domain in which a Limit counts instances separately: a zone, a region or the whole fleet.
type Domain string

// The kinds of domain.
const (
	WholeFleet Domain = ""       // one domain, for all instances that the limit selects
	PerZone    Domain = "zone"   // one domain for each zone
	PerRegion  Domain = "region" // one domain for each region
)

// Limit bounds how many instances may be unavailable at once, because they have a permit or are lost. If several limits
// select an instance, it has to satisfy all of them.
type Limit struct {
	Region, Zone        string  // the limit selects the instances in this region and zone; empty = any
	Per                 Domain  // kind of domain in which the limit counts instances separately
	MaxUnavailable      int     // number of instances in each domain; 0 = MaxUnavailableRatio applies
	MaxUnavailableRatio float64 // ratio of the selected instances in each domain, 0 to 1; 0 = MaxUnavailable applies
}

// Rules are the limits that operators set. New rules replace those in force only if their version is higher.
type Rules struct {
	Version uint64
	Limits  []Limit
	Margin  float64 // ratio of the remaining capacity to keep free of load, at least 0 and below 1
}

// Check returns a *configcheck.KeyError if the rules are not valid. Its keys are those of the operators' configuration.
func (r *Rules) Check() error {
	if !(r.Margin >= 0 && r.Margin < 1) {
		return configcheck.Errorf("margin", "%v is not at least 0 and below 1", r.Margin)
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

// check returns a *configcheck.KeyError if the limit is not valid. key is the path of the limit.
func (l *Limit) check(key string) error {
	switch l.Per {
	case WholeFleet, PerZone, PerRegion:
	default:
		return configcheck.Errorf(key+".each", "%q is neither zone nor region", l.Per)
	}
	if l.MaxUnavailable < 0 || (l.MaxUnavailable > 0) == (l.MaxUnavailableRatio > 0) {
		return configcheck.Errorf(key, "exactly one of out and share must be set, to a value above 0")
	}
	if !(l.MaxUnavailableRatio >= 0 && l.MaxUnavailableRatio <= 1) {
		return configcheck.Errorf(key+".share", "%v is not between 0 and 1", l.MaxUnavailableRatio)
	}
	return nil
}

// selects reports whether the limit applies to an instance.
func (l *Limit) selects(instance Instance) bool {
	inRegion := l.Region == "" || l.Region == instance.Region
	inZone := l.Zone == "" || l.Zone == instance.Zone
	return inRegion && inZone
}

// domainOf returns the domain in which an instance is counted. ok is false if the limit does not select the instance.
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

// maxUnavailable returns how many instances may be unavailable in a domain with the given number of instances. A ratio is
// rounded down, so that it is never exceeded.
func (l *Limit) maxUnavailable(instances int) int {
	if l.MaxUnavailable > 0 {
		return l.MaxUnavailable
	}
	return int(l.MaxUnavailableRatio * float64(instances))
}

package permit

import (
	"fmt"
	"maps"
	"slices"
)

// availability describes which instances are unavailable before a grant, or would be after it.
type availability struct {
	instances   map[string]Instance // all known instances, by name
	unavailable map[string]bool     // names of the instances that have a permit or are lost
}

// acquire grants permits for all names of the command. It returns an error and grants none if one of them is denied.
func (s *State) acquire(command *Command, decision *Decision) error {
	if err := s.checkGrantable(command); err != nil {
		return err
	}
	after := s.currentAvailability(&command.View) // the named instances are marked as unavailable below
	if err := s.checkNames(command.Names, after.instances); err != nil {
		return err
	}
	for _, name := range command.Names {
		after.unavailable[name] = true
	}
	if err := s.rules.checkLimits(after, command.Names); err != nil {
		return err
	}
	if err := s.rules.checkLoad(after, &command.View); err != nil {
		return err
	}
	for _, name := range command.Names {
		s.permits[name] = Permit{
			Name:        name,
			Incarnation: command.Incarnations[name],
			Owner:       command.Owner,
			Reason:      decision.Reason,
			Epoch:       decision.Epoch,
			instance:    after.instances[name],
		}
	}
	return nil
}

// checkGrantable returns an error if no permit can be granted now, whichever instances the command names.
func (s *State) checkGrantable(command *Command) error {
	switch {
	case s.halted:
		return ErrHalted
	case command.KnownHalts != s.halts:
		return ErrHaltedSince
	case len(s.rules.Limits) == 0:
		return ErrNoLimits
	case len(command.Names) == 0,
		len(s.permits)+len(command.Names) > maxPermits,
		len(command.View.Lost) > maxLost:
		return ErrInstanceCount
	}
	return nil
}

// currentAvailability returns the availability of the fleet before the grant that is being decided.
func (s *State) currentAvailability(view *FleetView) availability {
	current := availability{instances: map[string]Instance{}, unavailable: map[string]bool{}}
	for _, instance := range view.Instances {
		current.instances[instance.Name] = instance
	}
	for name, permit := range s.permits {
		current.unavailable[name] = true
		if _, ok := current.instances[name]; !ok { // an instance with a permit counts even if the proposer does not list it
			current.instances[name] = permit.instance
		}
	}
	for _, name := range view.Lost {
		current.unavailable[name] = true
	}
	return current
}

// checkNames returns an *InstanceError unless each name is that of a known instance without a permit.
func (s *State) checkNames(names []string, instances map[string]Instance) error {
	for _, name := range names {
		if permit, ok := s.permits[name]; ok {
			return &InstanceError{Name: name, Err: fmt.Errorf("%w, held by %s", ErrAlreadyPermitted, permit.Owner)}
		}
		if _, ok := instances[name]; !ok {
			return &InstanceError{Name: name, Err: ErrUnknownInstance}
		}
	}
	return nil
}

// checkLimits returns a *LimitError for the first limit that would be exceeded. It checks only the domains of the named
// instances, as losses in other domains must not block the command.
func (r *Rules) checkLimits(after availability, names []string) error {
	for i := range r.Limits {
		limit := &r.Limits[i]
		total, unavailable := limit.count(after)
		for _, domain := range limit.domainsOf(names, after.instances) {
			allowed := limit.maxUnavailable(total[domain])
			if allowed == 0 || unavailable[domain] > allowed {
				return &LimitError{
					Index:       i,
					Domain:      domain,
					Instances:   total[domain],
					Unavailable: unavailable[domain],
					Allowed:     allowed,
				}
			}
		}
	}
	return nil
}

// count returns, by domain, the number of instances that the limit selects, and how many of them would be unavailable.
func (l *Limit) count(after availability) (total, unavailable map[string]int) {
	total, unavailable = map[string]int{}, map[string]int{}
	for name, instance := range after.instances {
		domain, ok := l.domainOf(instance)
		if !ok {
			continue
		}
		total[domain]++
		if after.unavailable[name] {
			unavailable[domain]++
		}
	}
	return total, unavailable
}

// domainsOf returns the sorted domains in which the limit counts the named instances.
func (l *Limit) domainsOf(names []string, instances map[string]Instance) []string {
	domains := map[string]bool{}
	for _, name := range names {
		if domain, ok := l.domainOf(instances[name]); ok {
			domains[domain] = true
		}
	}
	return slices.Sorted(maps.Keys(domains))
}

// checkLoad returns a *LoadError if the load would exceed the remaining capacity less the margin.
func (r *Rules) checkLoad(after availability, view *FleetView) error {
	remaining := 0.0
	for _, name := range slices.Sorted(maps.Keys(after.instances)) { // a sum of floats depends on the order of the terms
		if !after.unavailable[name] {
			remaining += view.Capacity[name]
		}
	}
	if view.Load > remaining*(1-r.Margin) {
		return &LoadError{Load: view.Load, Remaining: remaining, Margin: r.Margin}
	}
	return nil
}

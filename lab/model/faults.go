package model

import (
	"strconv"

	"falldeal/lab/history"
)

// scheduleFaults schedules the start and the end of each fault of the options.
func (s *Simulation) scheduleFaults() {
	for i := range s.opts.Faults {
		fault := &s.opts.Faults[i]
		s.schedule(fault.Start, func() { s.setFault(fault, true) })
		s.schedule(fault.Start+fault.Duration, func() { s.setFault(fault, false) })
	}
}

// setFault starts a fault if active, and ends it otherwise.
func (s *Simulation) setFault(fault *Fault, active bool) {
	s.recordFault(fault, active)
	for _, store := range s.affectedStores(fault) {
		switch fault.Kind {
		case FaultStoresUnresponsive:
			store.setUnresponsive(active)
		case FaultStoresSlow:
			store.setSlow(active, fault.Factor)
		case FaultZoneLost:
			s.setZoneLost(store.zone, active)
		case FaultBurst: // arrivalRate applies it
		}
	}
}

// recordFault records the start or the end of a fault.
func (s *Simulation) recordFault(fault *Fault, active bool) {
	event := history.Event{
		Kind: history.FaultChanged, Detail: string(fault.Kind) + " zone " + strconv.Itoa(fault.Zone),
	}
	if active {
		event.Count = 1
	}
	s.record(event)
}

// affectedStores returns the stores of the zones that a fault affects.
func (s *Simulation) affectedStores(fault *Fault) (affected []*store) {
	for zone, store := range s.stores {
		if fault.affects(zone) {
			affected = append(affected, store)
		}
	}
	return affected
}

// setZoneLost kills the servers of a zone if lost, and otherwise restarts them.
func (s *Simulation) setZoneLost(zone int, lost bool) {
	for _, server := range s.servers {
		switch {
		case server.zone != zone:
		case lost:
			server.kill()
		default:
			server.start(true)
		}
	}
}

package model

import (
	"strconv"

	"falldeal/lab/history"
)

func (s *Simulation) scheduleFaults() {
	for i := range s.opts.Faults {
		fault := &s.opts.Faults[i]
		s.schedule(fault.Start, func() { s.beginFault(fault) })
		s.schedule(fault.Start+fault.Duration, func() { s.endFault(fault) })
	}
}

func (s *Simulation) recordFault(fault *Fault, count int) {
	s.record(history.Event{
		Kind: history.FaultChanged, Detail: string(fault.Kind) + " zone " + strconv.Itoa(fault.Zone), Count: count,
	})
}

func (s *Simulation) beginFault(fault *Fault) {
	s.recordFault(fault, 1)
	for _, store := range s.affectedStores(fault) {
		switch fault.Kind {
		case FaultStoresUnresponsive:
			store.unresponsive = true
		case FaultStoresSlow:
			store.setSlowdown(fault.Factor)
		case FaultZoneLost:
			s.killZone(store.zone)
		case FaultBurst: // arrivalRate looks at it
		}
	}
}

func (s *Simulation) endFault(fault *Fault) {
	s.recordFault(fault, 0)
	for _, store := range s.affectedStores(fault) {
		switch fault.Kind {
		case FaultStoresUnresponsive:
			store.unresponsive = false
			store.restart(s.now)
		case FaultStoresSlow:
			store.setSlowdown(1)
		case FaultZoneLost:
			s.restartZone(store.zone)
		case FaultBurst: // arrivalRate looks at it
		}
	}
}

// affectedStores returns the stores of the zones of a fault.
func (s *Simulation) affectedStores(fault *Fault) (affected []*store) {
	for zone, store := range s.stores {
		if fault.affects(zone) {
			affected = append(affected, store)
		}
	}
	return affected
}

func (s *Simulation) killZone(zone int) {
	for _, server := range s.servers {
		if server.zone == zone {
			server.kill()
		}
	}
}

func (s *Simulation) restartZone(zone int) {
	for _, server := range s.servers {
		if server.zone == zone {
			server.start(true)
		}
	}
}

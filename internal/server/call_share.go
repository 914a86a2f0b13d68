package server

import (
	"math"
	"time"

	"falldeal/internal/fairshare"
	"falldeal/internal/sharelock"

	"github.com/sirupsen/logrus"
)

// Share of calls: the limit on calls in flight to the store holds for all processes of this image server together. A process
// makes calls only within the units of the limit that it holds. Package fairshare decides which it acquires and releases, and
// this file applies the result as the controller's limit.

// callShare is this process's part of the limit on calls in flight. The loop owns it.
type callShare struct {
	share   *fairshare.Share // nil: there are no locks, and the limit is divided by the number of linked processes
	usable  int              // units on which calls may start, out of fairshare.Units
	settled bool             // a further look changes nothing while the processes stay the same
}

// newCallShare returns the share of a process that is alone.
func newCallShare() callShare { return callShare{usable: fairshare.Units, settled: true} }

// newLockedCallShare returns the share of a process that holds its units by locks, and none at first.
func newLockedCallShare(abandonedCallTime time.Duration) callShare {
	return callShare{share: fairshare.New(abandonedCallTime)}
}

// whole reports whether this process may use the whole limit.
func (c *callShare) whole() bool { return c.usable == fairshare.Units }

// limit returns the part of a limit on calls that this process may use. It is above 0, which would stand for no limit.
func (c *callShare) limit(total float64) float64 {
	return max(total*float64(c.usable)/fairshare.Units, minCallLimit)
}

// occupiedUnits returns how many units calls in flight occupy under the given limit.
func occupiedUnits(inFlight int, limit float64) int {
	if limit <= 0 {
		return 0
	}
	return int(math.Ceil(float64(inFlight) * fairshare.Units / limit))
}

// claimsCalls reports whether this process needs calls: it serves, and is not a replaced process that has answered all its
// requests.
func (s *Server) claimsCalls() bool {
	if !s.listeners.opened {
		return false
	}
	return !s.drain.started() || !s.drain.replaced || s.requests.size() > 0
}

// setClaim publishes to the other processes whether this one needs calls.
func (s *Server) setClaim() {
	if err := s.processes.locks.SetClaim(s.claimsCalls()); err != nil {
		s.warnings.Warn(topicProcessLocks, "share of calls to the store not claimed", err)
	}
}

// updateCallShare adapts the part of the calls that this process uses to the processes that there are. The limit is lowered
// before units are released, and raised after they are acquired.
func (s *Server) updateCallShare(processes sharelock.Processes) {
	calls := &s.callShare
	if calls.share == nil {
		s.useCallUnits(fairshare.Units / processes.Claimants)
		return
	}
	seen := fairshare.Observation{
		Now:       s.clock.now,
		Exits:     processes.Exits,
		Claimants: processes.Claimants,
		Claims:    s.claimsCalls(),
		Occupied:  occupiedUnits(s.store.InFlight(), s.config.Settings.MaxCallsInFlight),
	}
	decision := calls.share.Step(seen)
	s.useCallUnits(decision.Usable)
	if err := s.processes.locks.Release(decision.Release); err != nil {
		s.warnings.Warn(topicProcessLocks, "units of the call limit not released", err)
	}
	acquired, err := s.processes.locks.Acquire(decision.Acquire)
	if err != nil {
		s.warnings.Warn(topicProcessLocks, "units of the call limit not acquired", err)
	}
	calls.share.Acquired(acquired)
	s.useCallUnits(decision.Usable + acquired)
	calls.settled = calls.share.Settled(seen)
}

// useCallUnits lets calls start on the given number of units.
func (s *Server) useCallUnits(units int) {
	if units == s.callShare.usable {
		return
	}
	s.log.WithFields(logrus.Fields{
		"units": units, "before": s.callShare.usable, "of": fairshare.Units, "in_flight": s.store.InFlight(),
	}).Info("share of calls to the store changed")
	s.callShare.usable = units
	s.limitCalls()
}

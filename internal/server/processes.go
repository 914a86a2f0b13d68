package server

import (
	"time"

	"falldeal/internal/deadline"
	"falldeal/internal/sharelock"

	"github.com/sirupsen/logrus"
)

// Processes of one image server: while a successor takes the place of its predecessor there are two, and the limits of the
// image server hold for both together. Each process observes the locks that all of them hold (package sharelock), and uses only
// its part: memory and connections are divided by the number of processes, and calls to the store by the units that
// each holds (call_share.go).

const topicProcessLocks = "process locks"

const (
	// sharedCheckInterval is the interval between two observations of the locks while there are other processes.
	sharedCheckInterval = 50 * time.Millisecond
	// aloneCheckInterval is the interval while there are none. A process that starts is usually noticed by its link.
	aloneCheckInterval = time.Second
)

// processWatch is the loop's view of the processes of this image server. The loop owns it.
type processWatch struct {
	locks *sharelock.Locks // nil: processes are known by their links only
	alive int              // processes, including this one
	timer *deadline.Entry  // the next update; nil if none is scheduled

	limitMemory func(processes int) // nil: the memory of this process is not limited
	limitedFor  int                 // number of processes for which limitMemory was called last
	limiting    bool                // limitMemory is running
	limited     []func()            // called once limitMemory has returned
}

func newProcessWatch() processWatch { return processWatch{alive: 1, limitedFor: 1} }

// ShareLimits makes the server share its limits with the other processes that have opened the file of locks. processes is the
// number of these processes, including this one, and the number that limitMemory was called with. limitMemory is called again
// whenever the number changes, and returns when this process is within its part of the memory. It may block: it is called on a
// separate goroutine, and not again before it has returned. ShareLimits must be called before Run.
func (s *Server) ShareLimits(locks *sharelock.Locks, processes int, limitMemory func(processes int)) {
	s.processes.locks = locks
	s.processes.alive = processes
	s.processes.limitMemory = limitMemory
	s.processes.limitedFor = processes
	if locks != nil {
		s.callShare = newLockedCallShare(s.config.Settings.AbandonedCallTime)
	}
	s.idempotency.limitResults(maxResultBytes(s.config.Limits.MemoryMB, processes))
}

// watchProcesses updates the processes of this image server, and schedules the next update. Another process is usually
// noticed earlier, when its link is connected.
func (s *Server) watchProcesses() {
	s.deadlines.Cancel(s.processes.timer)
	s.updateProcesses()
	interval := aloneCheckInterval
	if s.processes.alive > 1 || !s.callShare.settled || s.handover.authority.Pending() {
		interval = sharedCheckInterval
	}
	s.processes.timer = s.deadlines.Add(s.clock.now+interval, s.watchProcesses)
}

// checkProcesses updates the processes of this image server now, after an event that may have changed them.
func (s *Server) checkProcesses() {
	if s.processes.locks != nil || s.handover.authority.Pending() {
		s.watchProcesses()
		return
	}
	s.updateProcesses()
}

// updateProcesses adapts this process to the processes that there are.
func (s *Server) updateProcesses() {
	seen := s.observeProcesses()
	if seen.Alive != s.processes.alive {
		s.processCountChanged(seen.Alive)
	}
	s.updateCallShare(seen)
	s.observeAuthority()
}

// processCountChanged divides the limits by a new number of processes.
func (s *Server) processCountChanged(alive int) {
	s.log.WithFields(logrus.Fields{
		"processes":   alive,
		"before":      s.processes.alive,
		"retained_kb": s.idempotency.resultBytes >> 10,
	}).Info("limits divided among the processes of this image server")
	s.processes.alive = alive
	s.idempotency.limitResults(maxResultBytes(s.config.Limits.MemoryMB, alive))
	s.limitMemory()
	s.evictExcess()
}

// observeProcesses counts the processes of this image server. A process that is linked to this one but holds no lock is of
// a version without locks, or could not open the file. It counts as one that claims a share.
func (s *Server) observeProcesses() sharelock.Processes {
	seen := sharelock.Processes{Alive: 1, Claimants: 1}
	if s.processes.locks != nil {
		s.setClaim()
		observed, err := s.processes.locks.Observe()
		if err != nil {
			s.warnings.Warn(topicProcessLocks, "processes of this image server not counted by their locks", err)
		} else {
			seen = observed
		}
	}
	if unlocked := len(s.handover.links()) + 1 - seen.Alive; unlocked > 0 {
		seen.Alive += unlocked
		seen.Claimants += unlocked
	}
	return seen
}

// limitMemory makes this process keep within its part of the memory, unless it does already.
func (s *Server) limitMemory() {
	watch := &s.processes
	if watch.limitMemory == nil || watch.limiting || watch.limitedFor == watch.alive {
		return
	}
	watch.limiting = true
	watch.limitedFor = watch.alive
	limit, processes := watch.limitMemory, watch.alive
	go func() {
		limit(processes)
		s.post(s.memoryLimited)
	}()
}

// memoryLimited handles the end of limitMemory. The number of processes may have changed while it ran.
func (s *Server) memoryLimited() {
	watch := &s.processes
	watch.limiting = false
	s.limitMemory()
	if watch.limiting {
		return
	}
	callbacks := watch.limited
	watch.limited = nil
	for _, callback := range callbacks {
		callback()
	}
}

// whenMemoryLimited calls a function once this process keeps within its part of the memory, which may be now.
func (s *Server) whenMemoryLimited(callback func()) {
	if s.processes.limiting {
		s.processes.limited = append(s.processes.limited, callback)
		return
	}
	callback()
}

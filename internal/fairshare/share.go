// Package fairshare decides which part of a limit a process of an image server may use. An image server consists of several
// processes while one replaces another, and all of them share the same limits.
//
// A limit consists of Units equal units. A unit has at most one holder at a time: package sharelock has a lock for each,
// which the kernel releases when its holder exits. A process uses only units that it holds. All processes follow the same
// rule, and need not talk to each other:
//
//   - The fair share of a process is Units divided by the number of processes that claim a share. A process that claims
//     none, because it does not serve yet or has nothing left to do, has a fair share of 0.
//   - Below its fair share, a process acquires units without a holder.
//   - Above it, a process starts no work on the surplus from then on, and releases units that no work has occupied for the
//     settle time.
//   - After a process has exited, and after its start, it acquires no units during the settle time, since work that was
//     abandoned at an exit may still occupy the resource.
//
// Invariants, in any order of starts, exits, claims and changes of the work in progress: all processes together never hold
// more than Units, no process starts work beyond the units that it holds, and once the processes and their claims stay the
// same, each claimant comes to hold its fair share as soon as work in progress allows it.
package fairshare

import "time"

// Units is the number of units of a limit. It is divisible by the numbers of processes that occur: one, two and rarely three.
const Units = 24

// Observation is the input of Share.Step.
type Observation struct {
	Now       time.Duration // on a monotonic clock
	Exits     int           // exits of other processes that this one has noticed so far
	Claimants int           // processes that claim a share, including this one if it does
	Claims    bool          // this process claims a share
	Occupied  int           // units that work in progress of this process occupies; abandoned work need not be included
}

// Decision is the output of Share.Step. The process applies the fields in their order.
type Decision struct {
	Usable  int // units on which new work may start
	Release int // units to unlock
	Acquire int // units to lock, if so many have no holder; the caller reports the result to Share.Acquired
}

// Share is the part of a limit that one process holds. Its methods must be called on one goroutine.
type Share struct {
	settleTime time.Duration
	held       int

	started      bool          // there was an observation
	exits        int           // in the last observation
	acquireAfter time.Duration // end of the settle time after the start of this process or the exit of another

	surplus      bool // the last observation found more units held than the fair share
	occupiedPeak peak // while surplus is true
}

// New returns a Share that holds no units. settleTime is the longest time for which abandoned work occupies the resource.
func New(settleTime time.Duration) *Share { return &Share{settleTime: settleTime} }

// Held returns the number of units that this process holds.
func (s *Share) Held() int { return s.held }

// Step decides what to do after an observation. It counts units as released when it returns.
func (s *Share) Step(seen Observation) Decision {
	if !s.started || seen.Exits > s.exits {
		s.acquireAfter = seen.Now + s.settleTime
	}
	s.started = true
	s.exits = seen.Exits
	fair := fairShare(seen)
	if s.held > fair {
		release := s.releasable(seen, fair)
		s.held -= release
		return Decision{Usable: fair, Release: release}
	}
	s.surplus = false
	decision := Decision{Usable: s.held}
	if seen.Now >= s.acquireAfter {
		decision.Acquire = fair - s.held
	}
	return decision
}

// Acquired records that this process has acquired units. New work may start on them at once.
func (s *Share) Acquired(units int) { s.held += units }

// Settled reports whether a further Step could change nothing while the observation stays the same.
func (s *Share) Settled(seen Observation) bool { return s.held == fairShare(seen) }

// releasable returns how many of the units held beyond the fair share can be released.
func (s *Share) releasable(seen Observation, fair int) int {
	if !s.surplus {
		s.surplus = true
		// Work that was abandoned shortly before this observation may occupy any of the units.
		s.occupiedPeak = peak{startedAt: seen.Now, previous: s.held}
	}
	s.occupiedPeak.observe(seen.Now, seen.Occupied, s.settleTime)
	return max(s.held-max(fair, s.occupiedPeak.value()), 0)
}

// fairShare returns the number of units that a process is to hold.
func fairShare(seen Observation) int {
	if !seen.Claims {
		return 0
	}
	return Units / max(seen.Claimants, 1)
}

// peak is the largest value observed within a time that is between one and two windows long.
type peak struct {
	startedAt         time.Duration // of the current window
	current, previous int           // largest values of the current window and of the one before it
}

func (p *peak) observe(now time.Duration, value int, window time.Duration) {
	if now-p.startedAt >= window {
		p.previous = p.current
		p.current = 0
		p.startedAt = now
	}
	p.current = max(p.current, value)
}

func (p *peak) value() int { return max(p.current, p.previous) }

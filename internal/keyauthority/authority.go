// Package keyauthority decides which process of an image server may run a request whose idempotency key that process does not
// know. A known key is decided by its entry.
//
// While a successor replaces its predecessor, both processes get requests of the same keys. The predecessor has the authority:
// it runs unknown keys, and the successor claims a key at the predecessor before it runs anything with it. So the predecessor
// knows every key that may run at the successor, and announces every key that it runs to the successor.
//
// The link between them can end while both processes run. The end of the link is therefore not the end of the process, and three things
// are told apart:
//
//   - The predecessor has announced that it runs nothing more. Then the successor has the authority.
//   - The predecessor has exited. The successor has read all that it sent, and has the authority as well. An exit follows the
//     end of the link after a short time, so until that has passed, requests with unknown keys are held.
//   - The predecessor runs without a link. It still has the authority, but can't be asked. Requests with unknown keys fail
//     until it has exited, and after that until the windows of all requests that it may have run have ended.
//
// The predecessor continues as before when it loses its successor, since that runs nothing unasked. A successor of an older
// version does not follow this rule: it takes the end of the link for the exit of the predecessor, and runs every key. If the
// link to such a successor ends, the predecessor follows the third rule itself.
//
// Invariants, in any order of joins, ends of links, announcements and exits, between processes of this version: no key runs in
// both processes within its window, and of two running processes, at most one runs unknown keys unasked. They hold if a
// predecessor whose link ends, and that does not announce its end, either exits with it, or runs for at least exitTime after that.
package keyauthority

import "time"

// exitTime is the maximum time from the close of the links of a process to its exit: it waits for its last answers to be written and for
// the program's extension.
const exitTime = 400 * time.Millisecond

// Decision is how a request whose key is unknown is handled.
type Decision uint8

// The decisions.
const (
	Run   Decision = iota // it may be run
	Claim                 // the predecessor must be asked
	Hold                  // wait for another decision, which follows within exitTime and the interval of Observe
	Fail                  // the key may have been run by a process that can't be asked
)

// String returns the name of the decision.
func (d Decision) String() string { return [...]string{"run", "claim", "hold", "fail"}[d] }

// peerState is the state of another process, as this one has observed it.
type peerState uint8

const (
	absent   peerState = iota // there is none, or it runs nothing more
	linked                    // there is a link to it
	closed                    // its link has ended, and it may be about to exit
	unlinked                  // it runs without a link
	exited                    // it has exited after it had run without a link
)

func (s peerState) String() string {
	return [...]string{"absent", "linked", "closed", "unlinked", "exited"}[s]
}

// peer is another process of the image server.
type peer struct {
	state peerState
	until time.Duration // closed: end of the time to exit; exited: end of the windows of the requests that it may have run
}

func (p *peer) alive() bool { return p.state != absent && p.state != exited }

// linkEnded records the end of the link at now.
func (p *peer) linkEnded(now time.Duration) {
	if p.state == linked {
		*p = peer{state: closed, until: now + exitTime}
	}
}

// observe records whether other processes are alive at now. window is the longest idempotency window.
func (p *peer) observe(now time.Duration, othersAlive bool, window time.Duration) {
	switch {
	case p.state == closed && !othersAlive:
		p.state = absent
	case p.state == closed && now >= p.until:
		p.state = unlinked
	case p.state == unlinked && !othersAlive:
		*p = peer{state: exited, until: now + window}
	case p.state == exited && now >= p.until:
		p.state = absent
	}
}

// Authority is the view of one process. The zero Authority is that of a process that is alone. Times are on any monotonic
// clock. The methods must be called on one goroutine.
type Authority struct {
	predecessor, successor peer
	successorAsks          bool // the successor follows the rules of this package
}

// PredecessorJoined records a link to the predecessor.
func (a *Authority) PredecessorJoined() { a.predecessor = peer{state: linked} }

// PredecessorFinished records that the predecessor has announced that it runs nothing more.
func (a *Authority) PredecessorFinished() { a.predecessor = peer{} }

// PredecessorLinkEnded records the end of the link to the predecessor. It does nothing after PredecessorFinished.
func (a *Authority) PredecessorLinkEnded(now time.Duration) { a.predecessor.linkEnded(now) }

// PredecessorUnreachable records that the link to the predecessor has ended before this process knew its keys, and could not
// be opened again.
func (a *Authority) PredecessorUnreachable() { a.predecessor = peer{state: unlinked} }

// SuccessorJoined records a link to a successor.
func (a *Authority) SuccessorJoined() {
	a.successor = peer{state: linked}
	a.successorAsks = false
}

// SuccessorAsks records that the successor runs nothing unasked, even if its link ends.
func (a *Authority) SuccessorAsks() { a.successorAsks = true }

// SuccessorLinkEnded records the end of the link to the successor.
func (a *Authority) SuccessorLinkEnded(now time.Duration) { a.successor.linkEnded(now) }

// PredecessorAlive reports whether a predecessor that may run requests was observed last, linked or not.
func (a *Authority) PredecessorAlive() bool { return a.predecessor.alive() }

// SuccessorAlive reports whether a successor was observed last, linked or not.
func (a *Authority) SuccessorAlive() bool { return a.successor.alive() }

// Observe records whether other processes of the image server are alive. It must be called at each end of a link, and
// regularly while others are alive. window is the longest idempotency window, with the time by which a request may be run after
// its arrival.
func (a *Authority) Observe(now time.Duration, othersAlive bool, window time.Duration) {
	a.predecessor.observe(now, othersAlive, window)
	a.successor.observe(now, othersAlive, window)
}

// Pending reports whether a later Observe may change the decision.
func (a *Authority) Pending() bool {
	return a.decideFor(a.predecessor) > Claim || a.decideFor(a.successor) > Claim
}

// Decide returns the decision on a request whose key is unknown.
func (a *Authority) Decide() Decision {
	decision := a.decideFor(a.predecessor)
	if !a.successorAsks && a.successor.state != linked {
		decision = max(decision, a.decideFor(a.successor))
	}
	return decision
}

// decideFor returns the decision if there were no other process than the given one.
func (a *Authority) decideFor(other peer) Decision {
	switch other.state {
	case linked:
		return Claim
	case closed:
		return Hold
	case unlinked, exited:
		return Fail
	case absent:
	}
	return Run
}

package overload

import (
	"cmp"
	"slices"
	"time"
)

// lease is quota that is granted to or received from a peer.
type lease struct {
	peer    ProcessID
	number  uint64 // of the request that it answers
	amount  Quota
	expires time.Duration // granted: reclaimed then without a return; received: no new call begins under it from then on
}

func (l *lease) is(peer ProcessID, number uint64) bool { return l.peer == peer && l.number == number }

// leaseList is the leases that a member has granted, or those that it has received.
type leaseList []lease

// unexpired returns the quota of the leases that have not expired.
func (l leaseList) unexpired(now time.Duration) (total Quota) {
	for i := range l {
		if now < l[i].expires {
			total += l[i].amount
		}
	}
	return total
}

// withoutExpired returns the list without the leases that expired grace ago or longer.
func (l leaseList) withoutExpired(now, grace time.Duration) leaseList {
	return slices.DeleteFunc(l, func(candidate lease) bool { return now >= candidate.expires+grace })
}

// without returns the list without the lease of a peer's request.
func (l leaseList) without(peer ProcessID, number uint64) leaseList {
	return slices.DeleteFunc(l, func(candidate lease) bool { return candidate.is(peer, number) })
}

// hasAnswered reports whether a request of a peer, or a later one of it, has a lease.
func (l leaseList) hasAnswered(peer ProcessID, number uint64) bool {
	return slices.ContainsFunc(l, func(granted lease) bool { return granted.peer == peer && granted.number >= number })
}

// sortByExpiry sorts the list, first to expire first.
func (l leaseList) sortByExpiry() {
	slices.SortFunc(l, func(a, b lease) int {
		return cmp.Or(cmp.Compare(a.expires, b.expires), a.peer.compare(b.peer))
	})
}

// pendingRequest is a request for a lease without an answer.
type pendingRequest struct {
	peer   ProcessID
	number uint64
	sentAt time.Duration
}

// pendingRequests is the requests without an answer; one for each peer at most.
type pendingRequests []pendingRequest

// has reports whether a request to a peer is pending.
func (p *pendingRequests) has(peer ProcessID) bool {
	return slices.ContainsFunc(*p, func(request pendingRequest) bool { return request.peer == peer })
}

// dropTimedOut forgets the requests that were sent timeout ago or earlier.
func (p *pendingRequests) dropTimedOut(now, timeout time.Duration) {
	*p = slices.DeleteFunc(*p, func(request pendingRequest) bool { return now >= request.sentAt+timeout })
}

// take removes the request that a peer has answered. Ok is false if there is none.
func (p *pendingRequests) take(peer ProcessID, number uint64) (answered pendingRequest, ok bool) {
	index := slices.IndexFunc(*p, func(request pendingRequest) bool {
		return request.peer == peer && request.number == number
	})
	if index < 0 {
		return pendingRequest{}, false
	}
	answered = (*p)[index]
	*p = slices.Delete(*p, index, index+1)
	return answered, true
}

package overload

import (
	"cmp"
	"slices"
	"time"
)

// lease is quota that this member has granted to a peer, or received from one.
type lease struct {
	peer   ProcessID // the borrower of a granted lease, the lender of a received one
	number uint64    // sequence number of the request that the lease answers
	amount Quota

	// expires is a time on this member's clock. From then on, a lender uses the quota again even if it was not returned,
	// and a borrower begins no new call under the lease.
	expires time.Duration
}

// answers reports whether the lease was granted for the request with this number that was exchanged with this peer.
func (l *lease) answers(peer ProcessID, number uint64) bool {
	return l.peer == peer && l.number == number
}

// leaseList holds the leases that a member has granted, or those that it has received.
type leaseList []lease

// unexpired returns the total quota of the leases that have not expired.
func (l leaseList) unexpired(now time.Duration) (total Quota) {
	for i := range l {
		if now < l[i].expires {
			total += l[i].amount
		}
	}
	return total
}

// withoutExpired returns the list without the leases that expired at least grace ago. It reuses the list's storage.
func (l leaseList) withoutExpired(now, grace time.Duration) leaseList {
	return slices.DeleteFunc(l, func(candidate lease) bool { return now >= candidate.expires+grace })
}

// without returns the list without the lease that was granted for a request. It reuses the list's storage.
func (l leaseList) without(peer ProcessID, number uint64) leaseList {
	return slices.DeleteFunc(l, func(candidate lease) bool { return candidate.answers(peer, number) })
}

// grantedSince reports whether the list has a lease that was granted to a peer for this request or a later one.
func (l leaseList) grantedSince(peer ProcessID, number uint64) bool {
	return slices.ContainsFunc(l, func(granted lease) bool { return granted.peer == peer && granted.number >= number })
}

// sortByExpiry sorts the list by time of expiry, then by peer.
func (l leaseList) sortByExpiry() {
	slices.SortFunc(l, func(a, b lease) int {
		return cmp.Or(cmp.Compare(a.expires, b.expires), a.peer.compare(b.peer))
	})
}

// pendingRequest is a lease request that was not answered yet.
type pendingRequest struct {
	peer   ProcessID // the member that was asked
	number uint64    // sequence number of the request
	sentAt time.Duration
}

// pendingRequests holds the lease requests that were not answered yet, at most one for each peer.
type pendingRequests []pendingRequest

// has reports whether a request to a peer is pending.
func (p *pendingRequests) has(peer ProcessID) bool {
	return slices.ContainsFunc(*p, func(request pendingRequest) bool { return request.peer == peer })
}

// dropTimedOut drops the requests that were sent at least timeout ago.
func (p *pendingRequests) dropTimedOut(now, timeout time.Duration) {
	*p = slices.DeleteFunc(*p, func(request pendingRequest) bool { return now >= request.sentAt+timeout })
}

// take removes and returns the request that a peer has answered. ok is false if no such request is pending.
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

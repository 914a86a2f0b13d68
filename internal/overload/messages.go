package overload

import (
	"cmp"
	"math"
)

// ProcessID identifies a process of a member. Each restart of a member makes a new process.
type ProcessID struct {
	Name string // name of the member
	Run  uint64 // identifies the process in the fleet; grows with the time of its start
}

// compare orders processes by name, then by run. The result is as that of cmp.Compare.
func (p ProcessID) compare(other ProcessID) int {
	return cmp.Or(cmp.Compare(p.Name, other.Name), cmp.Compare(p.Run, other.Run))
}

// quotaPerCall is the Quota that one call uses.
const quotaPerCall = 1000

// Quota is a limit on the calls in flight at a store, in thousandths of a call. In a large fleet the quota of one server
// may be less than one call.
type Quota int64

// Calls returns the quota in calls.
func (q Quota) Calls() float64 { return float64(q) / quotaPerCall }

// QuotaFromCalls returns the quota for a number of calls, rounded down to a thousandth. It returns 0 for a negative number.
func QuotaFromCalls(calls float64) Quota { return Quota(math.Floor(max(calls, 0) * quotaPerCall)) }

// quotaInUse returns the quota that a number of calls in flight uses.
func quotaInUse(calls int) Quota { return Quota(calls) * quotaPerCall }

// LeaseMessageKind is the kind of a quota leasing message.
type LeaseMessageKind uint8

// The kinds of messages. Their numbers are part of the wire format.
const (
	LeaseRequest LeaseMessageKind = iota + 1 // requests at most Amount
	LeaseGrant                               // grants Amount for LeaseTerms.Lease from when the request was sent; 0 = denied
	LeaseReturn                              // returns the lease that was granted for request Number
)

var leaseMessageKindNames = [...]string{"invalid", "lease request", "lease grant", "lease return"}

func (k LeaseMessageKind) String() string {
	if int(k) >= len(leaseMessageKindNames) {
		return leaseMessageKindNames[0]
	}
	return leaseMessageKindNames[k]
}

// LeaseMessage is a quota leasing message from one process to another. Messages may be lost, delayed, duplicated or
// reordered, and a process may leave any message unanswered.
type LeaseMessage struct {
	Kind     LeaseMessageKind
	From, To ProcessID
	Number   uint64 // sequence number of the request, counted by the process that sent the request
	Amount   Quota  // quota that is requested, granted or returned
}

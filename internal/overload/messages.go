package overload

import (
	"cmp"
	"math"
)

// ProcessID names a process of a member. After a restart the member is another process.
type ProcessID struct {
	Name string
	Run  uint64 // larger in a later process of the same name
}

func (p ProcessID) compare(other ProcessID) int {
	return cmp.Or(cmp.Compare(p.Name, other.Name), cmp.Compare(p.Run, other.Run))
}

// quotaPerCall is the quota of one call.
const quotaPerCall = 1000

// Quota is a number of calls in flight at a store, in thousandths of a call: in a large fleet a server's own quota may
// be less than one call.
type Quota int64

// Calls returns the quota in calls.
func (q Quota) Calls() float64 { return float64(q) / quotaPerCall }

// QuotaOf returns the quota for a number of calls, rounded down; 0 for a negative number.
func QuotaOf(calls float64) Quota { return Quota(math.Floor(max(calls, 0) * quotaPerCall)) }

// quotaOfCalls returns the quota that so many calls in flight use.
func quotaOfCalls(calls int) Quota { return Quota(calls) * quotaPerCall }

// MessageKind is the kind of a message of quota leasing.
type MessageKind uint8

// The kinds of messages, as they are encoded.
const (
	LeaseRequest MessageKind = iota + 1 // asks for Amount or less
	LeaseGrant                          // grants Amount for a lease from the time of the request; 0 = nothing
	LeaseReturn                         // gives back the lease of this Number
)

var messageKindNames = [...]string{"invalid", "lease request", "lease grant", "lease return"}

func (k MessageKind) String() string {
	if int(k) >= len(messageKindNames) {
		return messageKindNames[0]
	}
	return messageKindNames[k]
}

// Message is a message of quota leasing from one process to another. Messages may be lost, delayed, duplicated or
// reordered, and none has to be answered.
type Message struct {
	Kind     MessageKind
	From, To ProcessID
	Number   uint64 // of the request, counted by the process that sent it
	Amount   Quota
}

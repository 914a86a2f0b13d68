package overload

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"falldeal/lab/modelcheck"

	"github.com/stretchr/testify/require"
)

var modelCheckDepth = flag.Int("depth", 8, "number of steps to which the lease exchange is explored")

const (
	tick          = time.Second // step of the model's clock
	maxInTransit  = 3           // messages in transit at the same time
	faultDepth    = 11          // number of steps within which an injected fault must be found
	storeCapacity = 4           // calls that the store bears: the sum of Base over both members
	borrower      = 0           // index of the member that requests leases
	lender        = 1           // index of the member that grants them
	noMember      = -1          // in place of an index; for a call: its process was replaced
)

// leasingState is a state of two members that share a store.
type leasingState struct {
	now      time.Duration
	ledgers  [2]*QuotaLedger
	messages []LeaseMessage // messages in transit
	calls    []modelCall    // calls that the store works on
}

// modelCall is a call that the store works on.
type modelCall struct {
	member    int // index of the member that made the call, or noMember
	startedAt time.Duration
}

// leasingFault injects a fault into the ledger of a member, after it has handled a message or restarted.
type leasingFault func(state *leasingState, member int)

// newLeasingState returns a state in which no process has a predecessor whose calls or leases still count.
func newLeasingState() leasingState {
	state := leasingState{now: 100 * time.Second}
	for member := range state.ledgers {
		state.ledgers[member] = NewQuotaLedger(0, ProcessID{fmt.Sprint("n", member), 1}, testTerms)
	}
	return state
}

func (s *leasingState) clone() leasingState {
	state := *s
	for member, ledger := range s.ledgers {
		copied := *ledger
		copied.leasedOut = slices.Clone(ledger.leasedOut)
		copied.leased = slices.Clone(ledger.leased)
		copied.pending = slices.Clone(ledger.pending)
		state.ledgers[member] = &copied
	}
	state.messages = slices.Clone(s.messages)
	state.calls = slices.Clone(s.calls)
	return state
}

// inFlight returns the quota that the known calls of a member use. A restarted process does not know the calls of its
// predecessor.
func (s *leasingState) inFlight(member int) (quota Quota) {
	for _, call := range s.calls {
		if call.member == member {
			quota += quotaPerCall
		}
	}
	return quota
}

// leasingSteps collects the steps that are possible in a state.
type leasingSteps struct {
	from  leasingState
	fault leasingFault
	steps []modelcheck.Step[leasingState]
}

// nextSteps returns a function that lists the steps from a state, with an injected fault.
func nextSteps(fault leasingFault) func(leasingState) []modelcheck.Step[leasingState] {
	return func(from leasingState) []modelcheck.Step[leasingState] {
		next := leasingSteps{from: from, fault: fault}
		next.add("wait", wait)
		for member := range from.ledgers {
			next.addMemberSteps(member)
		}
		for index := range from.messages {
			next.addMessageSteps(index)
		}
		return next.steps
	}
}

// add adds a step that changes a copy of the state.
func (n *leasingSteps) add(name string, apply func(*leasingState)) {
	state := n.from.clone()
	apply(&state)
	n.steps = append(n.steps, modelcheck.Step[leasingState]{Name: name, To: state})
}

// wait advances the clock by one tick and ends the calls that have taken CallTime.
func wait(state *leasingState) {
	state.now += tick
	state.calls = slices.DeleteFunc(state.calls, func(call modelCall) bool {
		return state.now-call.startedAt >= testTerms.CallTime
	})
}

// addMemberSteps adds the steps that a member takes by itself: it requests or returns quota, makes a call, or restarts.
func (n *leasingSteps) addMemberSteps(member int) {
	ledger := n.from.ledgers[member]
	if len(n.from.messages) < maxInTransit-1 && member == borrower {
		n.add(fmt.Sprintf("%d requests", member), func(state *leasingState) {
			if request, ok := state.ledgers[borrower].RequestLease(state.now, state.ledgers[lender].self, quotaPerCall); ok {
				state.messages = append(state.messages, request)
			}
		})
		n.add(fmt.Sprintf("%d returns", member), func(state *leasingState) {
			returns := state.ledgers[member].Return(state.now, state.inFlight(member), 0)
			state.messages = append(state.messages, returns...)
		})
	}
	if n.from.inFlight(member)+quotaPerCall <= ledger.Limit(n.from.now) {
		n.add(fmt.Sprintf("%d calls", member), func(state *leasingState) {
			state.calls = append(state.calls, modelCall{member, state.now})
		})
	}
	if ledger.self.Run == 1 && member == lender {
		n.add(fmt.Sprintf("%d restarts", member), func(state *leasingState) {
			state.restart(member)
			n.fault(state, member)
		})
	}
}

// restart replaces the process of a member. The store still works on the calls of the old process for at most
// AbandonedCallTime.
func (s *leasingState) restart(member int) {
	s.ledgers[member] = NewQuotaLedger(s.now, ProcessID{s.ledgers[member].self.Name, 2}, testTerms)
	for i, call := range s.calls {
		if call.member == member {
			// With this start, wait ends the call CallTime after its true start or AbandonedCallTime from now, whichever is
			// earlier.
			startedAt := min(call.startedAt, s.now+testTerms.AbandonedCallTime-testTerms.CallTime)
			s.calls[i] = modelCall{noMember, startedAt}
		}
	}
}

// addMessageSteps adds the steps of a message: it arrives, it arrives and is duplicated, or it is lost.
func (n *leasingSteps) addMessageSteps(index int) {
	message := n.from.messages[index]
	for _, duplicated := range []bool{false, true} {
		name := fmt.Sprintf("%s of %s arrives, duplicated: %v", message.Kind, message.From.Name, duplicated)
		n.add(name, func(state *leasingState) {
			if !duplicated {
				state.messages = slices.Delete(state.messages, index, index+1)
			}
			n.transmit(state, message)
		})
	}
	n.add("lost", func(state *leasingState) { state.messages = slices.Delete(state.messages, index, index+1) })
}

// transmit has the recipient handle a message, and puts the answer in transit if there is room.
func (n *leasingSteps) transmit(state *leasingState, message LeaseMessage) {
	for member, ledger := range state.ledgers {
		if ledger.self != message.To {
			continue
		}
		answer, ok := ledger.HandleMessage(state.now, message, state.inFlight(member), 0)
		if ok && len(state.messages) < maxInTransit {
			state.messages = append(state.messages, answer)
		}
		n.fault(state, member)
	}
}

// stateKey returns the same key for states that differ only in the time at which they are reached.
func stateKey(state leasingState) string {
	key := ""
	for _, ledger := range state.ledgers {
		key += fmt.Sprint(ledger.self.Run, max(ledger.predecessorLeasesEnd-state.now, 0), ledger.lastNumber,
			remainingLeases(ledger.leasedOut, state.now), remainingLeases(ledger.leased, state.now))
		for _, request := range ledger.pending {
			key += fmt.Sprint(request.number, request.sentAt-state.now)
		}
	}
	for _, call := range state.calls {
		key += fmt.Sprint(call.member, call.startedAt-state.now)
	}
	return key + fmt.Sprint(state.messages)
}

// remainingLeases returns the leases that have not expired. In place of the time of expiry they have the remaining time.
func remainingLeases(leases []lease, now time.Duration) (remaining []lease) {
	for _, unexpired := range leases {
		if unexpired.expires -= now; unexpired.expires > 0 {
			remaining = append(remaining, unexpired)
		}
	}
	return remaining
}

// overcommitted returns the violation of the invariant if the store has more calls than it bears.
func overcommitted(state leasingState) string {
	if calls := len(state.calls); calls > storeCapacity {
		return fmt.Sprintf("%d calls in flight at a store with a quota of %d", calls, storeCapacity)
	}
	return ""
}

// Lost, delayed or duplicated messages and restarts must not lead to more calls at the store than the sum of the quotas.
// The model checker must find each injected fault: a rule of QuotaLedger that is left out.
func TestLeasingModelCheck(t *testing.T) {
	steps := nextSteps(func(*leasingState, int) {})
	found := modelcheck.Search(newLeasingState(), *modelCheckDepth, steps, stateKey, overcommitted)
	require.Empty(t, found.Violation, "%v", found.Steps)
	t.Logf("%d states within %d steps, no violation", found.States, *modelCheckDepth)
	for name, fault := range map[string]leasingFault{
		"the lender uses quota that it has leased out": func(state *leasingState, member int) {
			for i := range state.ledgers[member].leasedOut {
				state.ledgers[member].leasedOut[i].expires = state.now
			}
		},
		"the lender reclaims quota while calls under the expired lease go on": func(state *leasingState, member int) {
			for i, granted := range state.ledgers[member].leasedOut {
				state.ledgers[member].leasedOut[i].expires = min(granted.expires, state.now+testTerms.Lease)
			}
		},
		"a restarted process ignores the leases of its predecessor": func(state *leasingState, member int) {
			state.ledgers[member].predecessorLeasesEnd = 0
		},
		"a restarted process ignores the calls of its predecessor": func(state *leasingState, member int) {
			state.ledgers[member].predecessorCallsEnd = 0
		},
	} {
		found := modelcheck.Search(newLeasingState(), faultDepth, nextSteps(fault), stateKey, overcommitted)
		require.NotEmpty(t, found.Violation, name)
		t.Logf("injected fault: %s: found after %d states: %v", name, found.States, found.Steps)
	}
}

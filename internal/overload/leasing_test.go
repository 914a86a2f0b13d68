package overload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testTerms = LeaseTerms{
	Base:              2000,
	Reserved:          1000,
	Lease:             2 * time.Second,
	CallTime:          2 * time.Second,
	AbandonedCallTime: time.Second,
}

// A lender that grants quota which it uses, needs or has reserved, or grants a request twice, would overcommit the store.
// Limits on both sides must follow the lease through its expiry and reclaim.
func TestGrantLeavesUsedAndReservedQuota(t *testing.T) {
	for name, test := range map[string]struct{ requested, inFlight, needed, want Quota }{
		"all but the reserved": {5000, 0, 0, 1000},
		"less":                 {300, 0, 0, 300},
		"in flight":            {5000, 1500, 0, 500},
		"needed":               {5000, 0, 1800, 200},
		"nothing left":         {5000, 2000, 0, 0},
	} {
		state := newLeasingState()
		now, borrowerLedger, lenderLedger := state.now, state.ledgers[borrower], state.ledgers[lender]
		request, _ := borrowerLedger.RequestLease(now, lenderLedger.self, test.requested)
		grant, ok := lenderLedger.HandleMessage(now, request, test.inFlight, test.needed)
		require.True(t, ok, name)
		require.Equal(t, test.want, grant.Amount, name)
		if test.want > 0 {
			_, granted := lenderLedger.HandleMessage(now, request, 0, 0)
			require.False(t, granted, name)
		}
		borrowerLedger.HandleMessage(now, grant, 0, 0)
		require.Equal(t, 2000+test.want, borrowerLedger.Limit(now), name)
		require.Equal(t, 2000-test.want, lenderLedger.Limit(now), name)
		expired := now + testTerms.Lease
		require.Equal(t, Quota(2000), borrowerLedger.Limit(expired), "the lease has expired")
		require.Equal(t, 2000-test.want, lenderLedger.Limit(expired+testTerms.CallTime), "calls under the lease may go on")
		require.Equal(t, Quota(2000), lenderLedger.Limit(expired+testTerms.CallTime+time.Second))
	}
	ledger := NewQuotaLedger(0, ProcessID{"n0", 1}, testTerms)
	require.Zero(t, ledger.Limit(0), "calls of a predecessor may be in flight")
	require.Equal(t, testTerms.Reserved, ledger.Limit(2*time.Second), "leases of a predecessor may be in use")
	require.Equal(t, testTerms.Base, ledger.Limit(time.Minute), "without leases, a member has the quota of its settings")
}

// Random requests, losses, delays, restarts and drifting clocks must not lead to more calls in flight than the sum of the
// quotas, while quota moves to busy members. The simulation must detect a borrower that counts its lease from the grant: that
// fault takes more steps than the model checker can explore.
func TestLeasingSimulationNeverOvercommits(t *testing.T) {
	const seeds, faultSeeds = 1000, 300
	moved := Quota(0)
	for seed := range uint64(seeds) {
		simulation := newLeasingSimulation(seed, func(*QuotaLedger, time.Duration) {})
		simulation.run()
		require.Zero(t, simulation.excess, "seed %d", seed)
		moved += simulation.moved
	}
	require.NotZero(t, moved)
	found := 0
	for seed := range uint64(faultSeeds) {
		simulation := newLeasingSimulation(seed, func(ledger *QuotaLedger, now time.Duration) {
			if last := len(ledger.leased) - 1; last >= 0 {
				ledger.leased[last].expires = now + testTerms.Lease
			}
		})
		simulation.run()
		if simulation.excess > 0 {
			found++
		}
	}
	require.NotZero(t, found)
	t.Logf("%d seeds, %.0f call-seconds leased, no violation; injected fault: found by %d of %d seeds",
		seeds, moved.Calls()*simulationStep.Seconds(), found, faultSeeds)
}

// simulationStep is the step of the simulation's clock.
const simulationStep = 50 * time.Millisecond

// leasingSimulation simulates members that share a store and exchange messages over an unreliable network.
type leasingSimulation struct {
	random         *rand.Rand
	now            time.Duration // true time, from which the clocks of the members drift
	members        []*simulatedMember
	abandonedCalls []time.Duration // end times of the calls of processes that were killed
	messages       []delayedMessage
	afterGrant     func(*QuotaLedger, time.Duration) // called after a member has handled a grant; may inject a fault
	moved          Quota                             // sum over all steps of the quota that is leased
	excess         int                               // largest number of calls beyond the sum of the quotas, at any step
}

// simulatedMember is a member with a drifting clock.
type simulatedMember struct {
	*QuotaLedger
	clockRate float64         // time on the clock of the member per true time
	calls     []time.Duration // end times of its calls, in true time
	busy      bool            // it needs more quota than it has
}

// delayedMessage is a message in transit.
type delayedMessage struct {
	message   LeaseMessage
	arrivesAt time.Duration
}

func newLeasingSimulation(seed uint64, afterGrant func(*QuotaLedger, time.Duration)) *leasingSimulation {
	simulation := &leasingSimulation{random: rand.New(rand.NewPCG(seed, 1)), afterGrant: afterGrant}
	for i := range 3 + simulation.random.IntN(10) {
		simulation.members = append(simulation.members, &simulatedMember{
			QuotaLedger: NewQuotaLedger(0, ProcessID{fmt.Sprint(i), 1}, testTerms),
			clockRate:   1 + (simulation.random.Float64()-0.5)/clockDriftDivisor,
			busy:        i%3 == 0,
		})
	}
	return simulation
}

// run simulates 50 seconds.
func (s *leasingSimulation) run() {
	for s.now = 10 * time.Second; s.now < 60*time.Second; s.now += simulationStep {
		inFlight := 0
		for _, member := range s.members {
			s.step(member)
			inFlight += len(member.calls)
		}
		s.abandonedCalls = s.unfinished(s.abandonedCalls)
		capacity := len(s.members) * int(testTerms.Base/quotaPerCall)
		s.excess = max(s.excess, inFlight+len(s.abandonedCalls)-capacity)
		s.transmitMessages()
	}
}

// step has a member request quota, make calls, return quota, and sometimes restart.
func (s *leasingSimulation) step(member *simulatedMember) {
	member.calls = s.unfinished(member.calls)
	clock := member.clock(s.now)
	needed := Quota(0)
	if member.busy {
		needed = 4000
		peer := s.members[s.random.IntN(len(s.members))]
		if request, ok := member.RequestLease(clock, peer.self, quotaPerCall); ok {
			s.send(request)
		}
	}
	for member.inFlight()+quotaPerCall <= member.Limit(clock) && (member.busy || s.random.IntN(20) == 0) {
		callTime := time.Duration(1+s.random.IntN(int(testTerms.CallTime/time.Millisecond))) * time.Millisecond
		member.calls = append(member.calls, s.now+callTime)
	}
	s.moved += member.Leased(clock)
	for _, message := range member.Return(clock, member.inFlight(), needed) {
		s.send(message)
	}
	if s.random.IntN(500) == 0 {
		s.restart(member)
	}
}

// restart replaces the process of a member. The store still works on the calls of the old process for at most
// AbandonedCallTime.
func (s *leasingSimulation) restart(member *simulatedMember) {
	for _, end := range member.calls {
		s.abandonedCalls = append(s.abandonedCalls, min(end, s.now+testTerms.AbandonedCallTime))
	}
	successor := ProcessID{member.self.Name, member.self.Run + 1}
	member.QuotaLedger, member.calls = NewQuotaLedger(member.clock(s.now), successor, testTerms), nil
}

// unfinished returns the end times without those that have passed.
func (s *leasingSimulation) unfinished(ends []time.Duration) []time.Duration {
	return slices.DeleteFunc(ends, func(end time.Duration) bool { return end <= s.now })
}

func (s *leasingSimulation) send(message LeaseMessage) {
	s.messages = append(s.messages, s.delayed(message))
}

// delayed returns the message with a random delay of less than 3 s.
func (s *leasingSimulation) delayed(message LeaseMessage) delayedMessage {
	return delayedMessage{message, s.now + time.Duration(s.random.IntN(3000))*time.Millisecond}
}

// transmitMessages delivers the messages that have arrived. One in five is lost, and one in ten is duplicated.
func (s *leasingSimulation) transmitMessages() {
	var undelivered []delayedMessage
	for _, delayed := range s.messages {
		if delayed.arrivesAt > s.now {
			undelivered = append(undelivered, delayed)
			continue
		}
		if s.random.IntN(10) == 0 {
			undelivered = append(undelivered, delayedMessage{delayed.message, s.now + 2*time.Second})
		}
		if s.random.IntN(5) == 0 {
			continue
		}
		if answer, ok := s.transmit(delayed.message); ok {
			undelivered = append(undelivered, s.delayed(answer))
		}
	}
	s.messages = undelivered
}

// transmit has the recipient of a message handle it, unless that process has been replaced.
func (s *leasingSimulation) transmit(message LeaseMessage) (answer LeaseMessage, ok bool) {
	for _, member := range s.members {
		if member.self != message.To {
			continue
		}
		clock := member.clock(s.now)
		answer, ok = member.HandleMessage(clock, message, member.inFlight(), 0)
		if message.Kind == LeaseGrant {
			s.afterGrant(member.QuotaLedger, clock)
		}
	}
	return answer, ok
}

// clock returns the reading of the member's clock at the true time now.
func (m *simulatedMember) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now) * m.clockRate)
}

func (m *simulatedMember) inFlight() Quota { return Quota(len(m.calls)) * quotaPerCall }

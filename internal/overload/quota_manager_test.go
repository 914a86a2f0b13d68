package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"falldeal/internal/fleet"

	"github.com/stretchr/testify/require"
)

// quotaFleet simulates members that lease quota from each other. The first one may be busy, the others are idle.
type quotaFleet struct {
	terms        LeaseTerms
	managers     []*QuotaManager
	view         *fleet.View
	idleMessages int // messages of the idle members that are not answers
}

func newQuotaFleet(members int, terms LeaseTerms) *quotaFleet {
	random := rand.New(rand.NewPCG(1, 1))
	quotas := &quotaFleet{terms: terms, view: fleet.NewView("n0", fleet.Limits{Members: members})}
	for i := range members {
		ledger := NewQuotaLedger(0, ProcessID{fmt.Sprint("n", i), 1}, terms)
		quotas.managers = append(quotas.managers, NewQuotaManager(ledger, random.IntN))
	}
	return quotas
}

// run simulates the time from start to end, and returns the lowest limit that the first member has in it.
func (f *quotaFleet) run(start, end time.Duration, busy bool) Quota {
	const interval = 250 * time.Millisecond
	minLimit := Quota(1 << 40)
	for now := start; now < end; now += interval {
		f.publishLoads(now)
		f.transmit(now, f.tick(now, busy))
		minLimit = min(minLimit, f.managers[0].Limit(now))
	}
	return minLimit
}

func (f *quotaFleet) publishLoads(now time.Duration) {
	for i, manager := range f.managers {
		name := fmt.Sprint("n", i)
		load := fleet.Load{CallQuota: f.terms.Base.Calls(), MeanCalls: manager.MeanInFlight()}
		f.view.Merge(now, 0, fleet.Record{Name: name, Run: 1, Seq: uint64(now), Up: now, State: fleet.Serving, Load: load})
		f.view.ObserveReach(now, name, 1, fleet.Reached)
	}
}

// tick ticks all members and returns their messages. A busy first member wants 10 calls in flight.
func (f *quotaFleet) tick(now time.Duration, busy bool) (messages []LeaseMessage) {
	const wantedCalls = 10
	for i, manager := range f.managers {
		inFlight := 0
		if i == 0 && busy {
			inFlight = int(manager.Limit(now) / quotaPerCall)
			if inFlight < wantedCalls {
				manager.RecordMissedCall()
			}
		}
		sent := manager.Tick(now, inFlight, f.view.Snapshot(now), now)
		if i > 0 {
			f.idleMessages += len(sent)
		}
		messages = append(messages, sent...)
	}
	return messages
}

// transmit delivers messages and the answers to them.
func (f *quotaFleet) transmit(now time.Duration, messages []LeaseMessage) {
	for len(messages) > 0 {
		message := messages[0]
		messages = messages[1:]
		for _, manager := range f.managers {
			if answer, ok := manager.Receive(now, message, 0); ok {
				messages = append(messages, answer)
			}
		}
	}
}

// A busy member among idle ones must get at least twice its quota and keep it: returning it as soon as it helps would make
// the limit oscillate. It must return the quota once it is idle, and idle members must not request any.
func TestQuotaMovesToBusyMember(t *testing.T) {
	terms := LeaseTerms{
		Base:              4000,
		Reserved:          2000,
		Lease:             3 * time.Second,
		CallTime:          4 * time.Second,
		AbandonedCallTime: time.Second / 5,
	}
	quotas := newQuotaFleet(9, terms)
	quotas.run(10*time.Second, 20*time.Second, true)
	require.GreaterOrEqual(t, quotas.run(20*time.Second, 60*time.Second, true), 2*terms.Base, "while it is busy")
	quotas.run(60*time.Second, 75*time.Second, false)
	require.Equal(t, terms.Base, quotas.managers[0].Limit(75*time.Second))
	for _, manager := range quotas.managers {
		require.Zero(t, manager.LeasedOut(75*time.Second))
	}
	require.Zero(t, quotas.idleMessages)
}

// A request to itself or to a member without unused quota would be wasted, and delay the next one by requestInterval.
func TestChooseLenderNeedsUnusedQuota(t *testing.T) {
	const self, full, free = 0, 1, 2
	view := viewOf(3, time.Second, func(member int) fleet.Load {
		return map[int]fleet.Load{self: {CallQuota: 9}, full: {CallQuota: 4, MeanCalls: 4}, free: {CallQuota: 4}}[member]
	})
	for _, test := range []struct {
		drawn int // index of the member that is drawn each time
		ok    bool
	}{{self, false}, {full, false}, {free, true}} {
		manager := NewQuotaManager(NewQuotaLedger(0, processOf(&view.Members[self]), testTerms), func(int) int { return test.drawn })
		lender, ok := manager.chooseLender(view, time.Second)
		require.Equal(t, test.ok, ok, "member %d", test.drawn)
		if ok {
			require.Equal(t, processOf(&view.Members[free]), lender)
		}
	}
}

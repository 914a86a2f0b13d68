package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"falldeal/internal/fleet"

	"github.com/stretchr/testify/require"
)

// A busy member among idle ones must come to have several times its share and keep it while it needs it, must give it
// back soon after, and idle members must not ask at all.
func TestQuotaMovesToBusyMember(t *testing.T) {
	const n, look = 9, 250 * time.Millisecond
	tm := Terms{Base: 4000, Reserved: 2000, Lease: 3 * second, CallTime: 4 * second, AbandonedCallTime: second / 5}
	var all []*QuotaManager
	view := fleet.NewView("n0", fleet.Limits{Members: n})
	r := rand.New(rand.NewPCG(1, 1))
	for i := range n {
		all = append(all, NewQuotaManager(NewQuotaLedger(0, ProcessID{fmt.Sprint("n", i), 1}, tm), r.IntN))
	}
	tell := func(now time.Duration) {
		for i, x := range all {
			name := fmt.Sprint("n", i)
			view.Merge(now, 0, fleet.Record{Name: name, Run: 1, Seq: uint64(now), Up: now, State: fleet.Serving, Load: fleet.Load{CallQuota: 4, MeanCalls: x.MeanInFlight()}})
			view.ObserveReach(now, name, 1, fleet.Reached)
		}
	}
	asked := 0
	play := func(from, to time.Duration, busy bool) (least Quota) {
		least = 1 << 40
		for now := from; now < to; now += look {
			tell(now)
			var sent []Message
			for i, x := range all {
				inHand := 0
				if i == 0 && busy {
					inHand = int(x.Limit(now) / 1000)
					if inHand < 10 {
						x.CallMissed()
					}
				}
				out := x.Tick(now, inHand, view.Snapshot(now), now)
				if i > 0 {
					asked += len(out)
				}
				sent = append(sent, out...)
			}
			for len(sent) > 0 {
				m := sent[0]
				sent = sent[1:]
				for _, x := range all {
					if answer, ok := x.Receive(now, m, 0); ok {
						sent = append(sent, answer)
					}
				}
			}
			least = min(least, all[0].Limit(now))
		}
		return least
	}
	play(10*second, 20*second, true)
	require.GreaterOrEqual(t, play(20*second, 60*second, true), 2*tm.Base, "while it needs them")
	play(60*second, 75*second, false)
	require.Equal(t, tm.Base, all[0].Limit(75*second))
	for _, x := range all {
		require.Zero(t, x.LeasedOut(75*second))
	}
	require.Zero(t, asked)
}

func TestMessageRoundTrip(t *testing.T) {
	m := Message{Kind: LeaseGrant, From: ProcessID{"n1", 7}, To: ProcessID{"n2", 1 << 60}, Number: 9, Amount: 250}
	got, err := ParseMessage(AppendMessage(nil, m))
	require.NoError(t, err)
	require.Equal(t, m, got)
	for _, b := range [][]byte{nil, []byte("noise"), make([]byte, MaxMessageSize+1), AppendMessage(nil, Message{Kind: 9, From: m.From, To: m.To}),
		AppendMessage(nil, Message{Kind: LeaseRequest, To: m.To})} {
		_, err := ParseMessage(b)
		require.Error(t, err)
	}
}

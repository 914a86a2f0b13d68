package server

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// plainLeastMissed looks at every connection, as the table did before it kept them in order.
func plainLeastMissed(t *peerTable) *peerState {
	var least *peerState
	for _, st := range t.states {
		if len(st.open) == 0 && (least == nil || st.kind() < least.kind() || st.kind() == least.kind() && st.used < least.used) {
			least = st
		}
	}
	return least
}

// Whatever happens to connections, and in whatever order, the table finds the one that a look at all of them
// finds, and counts what is open.
func TestPeerTableAgainstAPlainOne(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		table, now := newPeerTable(), time.Duration(0)
		var all []*peerState
		for step := range 2000 {
			now += time.Duration(rng.IntN(3)) // several may be of one instant
			if len(all) == 0 || rng.IntN(8) == 0 {
				all = append(all, table.add(&peer{}, now))
				continue
			}
			i := rng.IntN(len(all))
			st, call := all[i], uint32(rng.IntN(3))
			switch rng.IntN(6) {
			case 0:
				table.heard(st, now)
			case 1:
				table.use(st, now)
			case 2:
				table.open(st, call, &request{})
			case 3:
				table.settle(st, call)
			case 4:
				table.told(st, now)
			case 5:
				if rng.IntN(3) == 0 {
					table.remove(st)
					all[i] = all[len(all)-1]
					all = all[:len(all)-1]
				}
			}
			open := 0
			for _, st := range all {
				open += len(st.open)
			}
			require.Equal(t, open, table.opened)
			require.Equal(t, len(all), table.size())
			got, want := table.leastMissed(), plainLeastMissed(&table)
			if want == nil {
				require.Nil(t, got, "seed %d, step %d", seed, step)
			} else {
				require.Equal(t, [2]any{want.kind(), want.used}, [2]any{got.kind(), got.used}, "seed %d, step %d", seed, step)
			}
		}
	}
}

// Most front ends of a fleet reconnect at once: more connections than there may be. Each new one costs one that
// is idle; those with an open request stay, and once there is no other the new one goes.
func TestAllReconnectAtOnce(t *testing.T) {
	s, do := idle(t)
	most := s.mostPeers()
	var busy []*peer
	for i := range most {
		p := &peer{}
		s.ConnectionOpened(p)
		do()
		if i%2 == 0 {
			busy = append(busy, p)
			s.peers.open(s.peers.of(p), 1, &request{})
		}
	}
	closed := 0
	for range 2 * most {
		p := &peer{}
		s.ConnectionOpened(p)
		do()
		require.LessOrEqual(t, s.peers.size(), most)
		if st := s.peers.of(p); st.leaving == staying {
			s.peers.open(st, 1, &request{})
		} else {
			require.Equal(t, []any{"close"}, p.got)
			closed++
		}
	}
	require.Equal(t, 2*most-(most-len(busy)), closed)
	for _, p := range busy {
		require.Empty(t, p.got)
	}
}

// What falls due is answered in the middle of a burst: a turn takes a bounded part of what waits, however much
// comes meanwhile. Before there was a bound it took a thousand messages, and more on a slow core than an answer
// has time.
func TestBurstDoesNotHoldUpWhatIsDue(t *testing.T) {
	s, _ := idle(t)
	var comes func()
	comes = func() { s.in <- comes } // the input never runs dry
	for range inRoom {
		s.in <- func() {}
	}
	for range 10 {
		(<-s.in)()
		s.in <- comes
	}
	due := false
	s.deadlines.Add(s.clock.now, func() { due = true })
	s.turn()
	require.True(t, due)
	require.GreaterOrEqual(t, len(s.in), inRoom-turnMost)
}

// BenchmarkTurn is a turn that brings a health check, with connections that are idle meanwhile.
func BenchmarkTurn(b *testing.B) {
	for _, connections := range []int{10, 150, 500} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			s, do := idle(b)
			s.cfg.Limits.Sockets = 2 * (sparePeers + connections)
			for range connections {
				s.ConnectionOpened(&countingPeer{})
			}
			p := &countingPeer{}
			s.ConnectionOpened(p)
			do()
			b.ReportAllocs()
			for b.Loop() {
				s.HealthCheck(p, 1, false)
				s.turn()
			}
		})
	}
}

// BenchmarkOpened is a connection that comes while the table is full.
func BenchmarkOpened(b *testing.B) {
	for _, connections := range []int{10, 150, 500} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			s, do := idle(b)
			s.cfg.Limits.Sockets = 2 * (sparePeers + connections)
			b.ReportAllocs()
			for b.Loop() {
				s.ConnectionOpened(&countingPeer{})
				do()
			}
		})
	}
}

// countingPeer only counts, so that nothing grows while it is measured.
type countingPeer struct {
	answers int
	server  *Server // that is told once nothing more is read; nil: nobody
}

func (p *countingPeer) Answer(uint32, Answer) { p.answers++ }
func (p *countingPeer) NotifyClosing()        {}
func (p *countingPeer) Close()                {}
func (p *countingPeer) PauseReading() {
	if p.server != nil {
		p.server.ReadEnded(p, ReadPaused)
	}
}
func (p *countingPeer) ResumeReading()    {}
func (p *countingPeer) TryClose() bool    { return true }
func (p *countingPeer) MaxOpenCalls() int { return 32 }

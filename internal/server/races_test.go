package server

import (
	"slices"
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"
	"falldeal/internal/handover"

	"github.com/stretchr/testify/require"
)

// Events that cross in one turn of the loop, in both orders; docs/races.md lists them.

// up is a server whose agent is up, and a front end on it.
func up(t *testing.T) (s *Server, p *peer, do func()) {
	s, do = idle(t)
	s.greeted(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	p = &peer{}
	s.ConnectionOpened(p)
	do()
	s.step()
	return s, p, do
}

func order(s *Server, id string) Attempt {
	return Attempt{ID: id, IdempotencyKey: "k", Class: "licence-order", ArrivedAt: s.clock.now, Timeout: 3 * time.Second, MemoryKB: 1}
}

// The first try of an order goes in the turn in which a third comes, while a second waits for the first: the third was
// taken for a first one beside the second, and both ran.
func TestFirstTryGoesAgainstAThird(t *testing.T) {
	for _, goes := range []string{"before the third", "after the third"} {
		t.Run(goes, func(t *testing.T) {
			s, p, do := up(t)
			s.Submit(p, 1, order(s, "a"))
			s.Submit(p, 2, order(s, "b"))
			do()
			if goes == "before the third" {
				s.Cancel(p, 1)
			}
			q := &peer{}
			s.ConnectionOpened(q)
			s.Submit(q, 1, order(s, "c"))
			if goes == "after the third" {
				s.Cancel(p, 1)
			}
			do()
			s.step()
			require.EqualValues(t, 1, s.stats.Runs)
			for _, id := range []string{"b", "c"} {
				if r := s.byWire[id]; r != nil && r.running {
					s.finish(r, admission.OutcomeOK, []byte("done"))
				}
			}
			s.step()
			require.Equal(t, []any{Served}, p.got)
			require.Equal(t, []any{Served}, q.got)
			require.EqualValues(t, 1, s.stats.Runs)
		})
	}
}

// A request is read just as the loop of a drain ends: it is still answered, before the connection is closed. It was left
// in the input, and lost. One that comes later finds the listener closed: that is some time before the end.
func TestLastReadAgainstTheEnd(t *testing.T) {
	s, p, do := up(t)
	s.cfg.StopTimeout = time.Second // shorter than the time in which arrivals may be run
	s.Drain()
	s.Drain() // a second SIGTERM
	do()
	s.step()
	require.Equal(t, s.drain.stopAt-lastComers, s.drain.shutAt)
	s.Submit(p, 1, Attempt{ID: "a", Class: "preview", ArrivedAt: s.clock.now, Timeout: 3 * time.Second, MemoryKB: 1})
	do()
	s.step()
	require.True(t, s.byWire["a"].running)
	s.clock.now = s.drain.stopAt
	require.True(t, s.finished())
	s.Submit(p, 2, Attempt{ID: "b", Class: "preview", ArrivedAt: s.clock.now, Timeout: 3 * time.Second, MemoryKB: 1})
	s.leave()
	require.ElementsMatch(t, []any{"closing", Failed, Rejected, "close"}, p.got)
	require.Equal(t, "close", p.got[3])
}

// A connection that is to be closed is found to be in use: something comes before it was read, between its last reading and
// the close, or while what came has no answer yet. All of it is answered, and then the connection goes. One on which
// messages come without an end goes as well.
func TestMessageAgainstTheClose(t *testing.T) {
	const finish, shut = "close", "close" // as peer notes them
	for name, c := range map[string]struct {
		comes []string
		want  []any
	}{
		"nothing":      {nil, []any{finish, "end", shut}},
		"before":       {[]string{"before"}, []any{finish, "closing", "resume", Served, finish, "end", shut}},
		"between":      {[]string{"between"}, []any{finish, "end", "closing", "resume", Served, finish, "end", shut}},
		"while in use": {[]string{"before", "after"}, []any{finish, "closing", "resume", Served, Served, finish, "end", shut}},
		"without end":  {},
	} {
		t.Run(name, func(t *testing.T) {
			s, p, do := up(t)
			calls := uint32(0)
			come := func(when string) {
				if !slices.Contains(c.comes, when) {
					return
				}
				calls++
				s.Submit(p, calls, Attempt{ID: when, Class: "preview", ArrivedAt: s.clock.now, Timeout: 3 * time.Second, MemoryKB: 1})
			}
			turn := func() {
				do()
				s.step()
				s.closeLeaving()
			}
			s.dropPeer(s.peers.of(p))
			turn()
			if name == "without end" {
				p.comes = 100
				for range looksMost {
					require.False(t, s.peers.none())
					s.ReadEnded(p, ReadPaused)
					turn()
				}
				s.ReadEnded(p, ReadPaused)
				turn()
				require.Equal(t, shut, p.got[len(p.got)-1])
				require.Len(t, p.got, looksMost+2)
				require.True(t, s.peers.none())
				return
			}
			come("before")
			if name == "between" {
				p.comes = 1
			}
			s.ReadEnded(p, ReadPaused)
			turn()
			if name == "between" {
				come("between")
				s.ReadEnded(p, ReadPaused)
				turn()
			}
			come("after")
			turn()
			for _, when := range c.comes {
				s.finish(s.byWire[when], admission.OutcomeOK, nil)
			}
			turn()
			if len(c.comes) > 0 {
				s.ReadEnded(p, ReadPaused)
				turn()
			}
			require.Equal(t, c.want, p.got)
			require.True(t, s.peers.none())
		})
	}
}

// Readers wait for room in the input of the loop as that ends: what they have read is answered like what was in it. It was
// left unread.
func TestReadersThatWaitAgainstTheEnd(t *testing.T) {
	s, p, do := up(t)
	s.Drain()
	do()
	s.step()
	s.clock.now = s.drain.stopAt
	s.post(func() { // room is made, and taken by one that waited
		s.Submit(p, 1, Attempt{ID: "a", Class: "preview", ArrivedAt: s.clock.now, Timeout: 3 * time.Second, MemoryKB: 1})
	})
	for len(s.in) < inRoom {
		s.post(func() {})
	}
	s.leave()
	require.Equal(t, []any{"closing", Rejected, "close"}, p.got)
}

// The link to an agent that has not greeted is looked at, and no longer once it has: a server at rest has no timer for it.
func TestAgentThatDoesNotGreetIsLookedAt(t *testing.T) {
	s, _ := idle(t)
	s.awaitAgent()
	for range 3 {
		at, ok := s.deadlines.Next()
		require.True(t, ok)
		require.Equal(t, s.clock.now+bootCheck, at)
		s.clock.now = at
		s.deadlines.Sweep(at)
	}
	s.greeted(agent.Notification{Kind: agent.Handshake, Result: agent.Booting})
	s.clock.now += bootCheck
	s.deadlines.Sweep(s.clock.now)
	require.Zero(t, s.deadlines.Len())
}

// SIGTERM comes while the agent boots: the time in which arrivals may be run counts from the notice, not from when the
// controller heard of it.
func TestNoticeAgainstTheAgentsStart(t *testing.T) {
	for _, early := range []bool{true, false} {
		s, do := idle(t)
		s.cfg.StopTimeout = time.Minute
		greet := func() {
			s.greeted(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
			s.step()
		}
		if !early {
			greet()
		}
		s.Drain()
		do()
		s.step()
		s.clock.now += 2 * time.Second
		if early {
			greet()
		}
		p := &peer{}
		s.ConnectionOpened(p)
		s.clock.now += s.cfg.Settings.DrainGrace - time.Second
		s.Submit(p, 1, Attempt{ID: "a", Class: "preview", ArrivedAt: s.clock.now, Timeout: 3 * time.Second, MemoryKB: 1})
		do()
		s.step()
		require.Equal(t, []any{"closing", Rejected}, p.got, "notice first: %v", early)
		require.Zero(t, s.stats.Runs)
	}
}

// A configuration with a longer time for arrivals comes during a drain: the notice was given under the old one.
func TestReloadAgainstADrain(t *testing.T) {
	s, _, do := up(t)
	fresh := *s.cfg
	fresh.Settings.DrainGrace *= 2
	s.Drain()
	was := s.cfg.Settings.DrainGrace
	s.Reload(&fresh, nil)
	do()
	require.Equal(t, was, s.cfg.Settings.DrainGrace)
	require.EqualValues(t, 1, s.stats.Reloads)
}

// A newer process joins while this one drains: it is to be listed, and this one must not report that it is not.
func TestNewerJoinsAgainstADrain(t *testing.T) {
	o := withPartner(t)
	o.Drain()
	o.do()
	o.joinedNewer(o.link)
	o.announcer.Set(false)
	require.True(t, o.announcer.Silent())
	o.expect("synced")
}

// The clock is set back between the stamp of a request and its reading: it is no request from the future.
func TestClockSetBackAgainstARequest(t *testing.T) {
	s, p, do := up(t)
	at := time.Now()
	s.clock.read = func() time.Time { return at }
	s.clock.advance()
	stamped := Attempt{ID: "a", Class: "preview", ArrivedAt: time.Duration(at.UnixNano()), Timeout: 3 * time.Second, MemoryKB: 1}
	at = at.Round(0).Add(-time.Hour)
	s.clock.advance()
	s.Submit(p, 1, stamped)
	do()
	s.step()
	require.Empty(t, p.got)
	require.True(t, s.byWire["a"].running)
	stamped.ID, stamped.ArrivedAt = "b", stamped.ArrivedAt+time.Hour // one from the future is still wrong
	s.Submit(p, 2, stamped)
	do()
	require.Equal(t, []any{Invalid}, p.got)
}

// All runs are lost with the agent: what waits for them is answered, once, and no order of theirs runs again.
func TestRunsLostAgainstARepeat(t *testing.T) {
	for _, first := range []string{"repeat", "loss"} {
		s, p, do := up(t)
		s.Submit(p, 1, order(s, "a"))
		do()
		s.step()
		if first == "loss" {
			s.runsLost()
		}
		s.Submit(p, 2, order(s, "b"))
		do()
		s.step()
		if first == "repeat" {
			s.runsLost()
		}
		s.step()
		require.Equal(t, []any{Failed, Failed}, p.got, first)
		require.EqualValues(t, 1, s.stats.Runs, first)
		require.Empty(t, s.requests, first)
	}
}

// The entry of an order runs out while its run goes on: the run keeps it until its end, and its end finds it.
func TestWindowAgainstARun(t *testing.T) {
	s, p, do := up(t)
	s.Submit(p, 1, order(s, "a"))
	do()
	s.step()
	r := s.byWire["a"]
	s.clock.now += s.cfg.Settings.Classes[2].IdempotencyWindow / 2
	s.deadlines.Sweep(s.clock.now)
	s.step()
	require.Equal(t, []any{Failed}, p.got) // in time, though it runs
	s.Submit(p, 2, order(s, "b"))          // within the window
	do()
	s.step()
	s.clock.now += 10 * s.cfg.Settings.Classes[2].IdempotencyWindow
	s.finish(r, admission.OutcomeOK, []byte("done"))
	require.Equal(t, []any{Failed, Served}, p.got)
	require.EqualValues(t, 1, s.stats.Runs)
	s.clock.now += s.lateMost()
	s.deadlines.Sweep(s.clock.now)
	require.Zero(t, s.keys.size())
}

// The older process ends while an order that it ran has not ended, or just after: its result answers tries at the newer.
func TestEndOfTheOlderAgainstItsRun(t *testing.T) {
	o := withPartner(t)
	run := o.order("aa")
	o.joinedNewer(o.link)
	o.expect("known")
	o.expect("synced")
	o.Drain()
	o.do()
	o.step()
	o.deadlines.Sweep(o.clock.now)
	o.serving = 0
	o.ReadEnded(o.peer, Disconnected)
	o.do()
	require.False(t, o.finished())
	o.finish(run, admission.OutcomeOK, []byte("done"))
	o.expect(string(handover.Completed))
	require.True(t, o.finished())
}

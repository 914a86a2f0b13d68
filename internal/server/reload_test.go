package server

import (
	"errors"
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"

	"github.com/stretchr/testify/require"
)

// New settings count at once and for what comes: a class that is gone keeps what is under way and takes in
// what its front ends, who hear of it late, still send; one that is new is served like any other.
func TestRetune(t *testing.T) {
	s, do := idle(t)
	s.greeted(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	n := uint32(0)
	var got []any
	submit := func(class string) *request {
		n++
		p := &peer{}
		s.ConnectionOpened(p)
		id := string(rune('a' + n))
		s.Submit(p, n, Attempt{ID: id, IdempotencyKey: id, Class: class, ArrivedAt: s.clock.now, Timeout: 2 * time.Second, MemoryKB: 1})
		do()
		s.step()
		return s.byWire[id]
	}
	old := submit("licence-order")
	require.True(t, old.running)

	fresh := *s.cfg
	fresh.Classes = []string{"poster", "preview", "hires-crop"}
	set := s.cfg.Settings
	set.Classes = []admission.Class{set.Classes[2], set.Classes[0], set.Classes[1]}
	set.Cores++
	set.Classes[1].Deadline = time.Second // front ends of before wait longer
	fresh.Settings = set
	s.Reload(&fresh, nil)
	do()
	require.Equal(t, []string{"preview", "hires-crop", "licence-order", "poster"}, s.cfg.Classes)
	require.Equal(t, set.Cores, s.cfg.Settings.Cores)
	require.Equal(t, "licence-order", s.cfg.Classes[old.class])
	added := submit("poster")
	require.True(t, added.running)
	require.Equal(t, 3, added.class)
	late := submit("licence-order")
	patient := submit("preview")
	require.True(t, late.running)
	for _, r := range []*request{old, added, late, patient} {
		s.finish(r, admission.OutcomeOK, nil)
		got = append(got, r.peer.(*peer).got...)
	}
	require.Equal(t, []any{Served, Served, Served, Served}, got)
	require.EqualValues(t, 2, s.stats.Answers["licence-order"].Served)
	require.EqualValues(t, 1, s.stats.Answers["poster"].Served)

	// In the end a class that is gone is unknown, and one that comes back has its place again.
	s.clock.now += s.lateMost()
	s.deadlines.Sweep(s.clock.now)
	require.Nil(t, submit("licence-order"))
	back := *s.cfg
	back.Classes, back.Settings.Classes = fresh.Classes[:1], set.Classes[:1]
	back.Classes = []string{"licence-order"}
	s.Reload(&back, nil)
	do()
	require.Equal(t, 2, submit("licence-order").class)

	s.Reload(nil, errors.New("no such key"))
	do()
	require.EqualValues(t, 2, s.stats.Reloads)
	require.EqualValues(t, 1, s.stats.ReloadsFailed)
}

// A class whose requests may not be repeated as before is another class to what is in hand.
func TestClassChangesItsKind(t *testing.T) {
	all, names := placeClasses([]admission.Class{{Idempotency: admission.IdempotentByKey}}, []admission.Class{{Idempotency: admission.Safe}},
		[]string{"order"}, []string{"order"})
	require.Equal(t, []admission.Class{{Idempotency: admission.IdempotentByKey, Removed: true}, {Idempotency: admission.Safe}}, all)
	require.Equal(t, []string{"order", "order"}, names)
}

// When a class gets another name, a request that is tried again comes under the new one with the old key.
func TestTriedAgainUnderAnotherName(t *testing.T) {
	s, do := idle(t)
	s.greeted(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	p := &peer{}
	s.ConnectionOpened(p)
	submit := func(call uint32, class string) {
		s.Submit(p, call, Attempt{ID: string(rune('a' + call)), IdempotencyKey: "k", Class: class, ArrivedAt: s.clock.now, Timeout: time.Second,
			MemoryKB: 1, Body: []byte("order")})
		do()
		s.step()
	}
	submit(1, "licence-order")
	fresh := *s.cfg
	fresh.Classes = []string{"preview", "hires-crop", "order"}
	s.Reload(&fresh, nil)
	do()
	submit(2, "order")
	s.finish(s.byWire["b"], admission.OutcomeOK, nil)
	require.Equal(t, []any{Served, Served}, p.got)
	require.EqualValues(t, 1, s.stats.Runs)
}

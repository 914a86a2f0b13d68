package server

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"
	"falldeal/internal/handover"
	"falldeal/internal/writequeue"

	"github.com/stretchr/testify/require"
)

// orders is a server that is up, whose partner is played by the test.
type orders struct {
	*Server
	*peer
	t    *testing.T
	do   func()
	link *handover.Link
	told *bufio.Scanner
	last uint32
}

func withPartner(t *testing.T) *orders {
	s, do := idle(t)
	s.greeted(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	o := &orders{Server: s, peer: &peer{}, t: t, do: do}
	here, there := net.Pipe()
	t.Cleanup(func() { here.Close(); there.Close() })
	require.NoError(t, there.SetDeadline(time.Now().Add(30*time.Second)))
	o.link, o.told = &handover.Link{Queue: writequeue.New(here, 100)}, bufio.NewScanner(there)
	go func() { _ = o.link.Run() }()
	s.ConnectionOpened(o.peer)
	do()
	return o
}

// order sends a try of a keyed request and has the controller decide on it.
func (o *orders) order(once string) *request {
	o.last++
	id := string(rune('a' + o.last))
	o.Submit(o.peer, o.last, Attempt{ID: id, IdempotencyKey: once, Class: "licence-order", ArrivedAt: o.clock.now, Timeout: 3 * time.Second, MemoryKB: 1})
	o.do()
	o.step()
	return o.byWire[id]
}

// partner plays what the other process tells.
func (o *orders) partner(kind handover.Kind, m handover.Message) {
	m.Kind = kind
	o.partnerTold(o.link, m)
	o.step()
}

// expect reads what the other process is told.
func (o *orders) expect(cmd string) {
	o.t.Helper()
	require.True(o.t, o.told.Scan(), "%v", o.told.Err())
	require.Contains(o.t, o.told.Text(), `{"cmd":"`+cmd+`"`)
}

// The newer process runs nothing under a key before the older one has said that it may.
func TestNewerClaimsKeys(t *testing.T) {
	o := withPartner(t)
	o.joinedOlder(o.link)
	o.partner(handover.Synced, handover.Message{})
	require.True(t, o.opened)
	digest := o.keys.digest(Attempt{})
	closes := o.clock.now + time.Minute

	a, again := o.order("aa"), o.order("aa")
	o.expect("claim")
	require.False(t, a.running)
	o.partner(handover.Grant, handover.Message{IdempotencyKey: "aa"})
	require.True(t, a.running)
	require.False(t, again.running)
	o.expect("known")
	o.finish(a, admission.OutcomeOK, nil)
	o.expect("over")
	require.Equal(t, []any{Served, Served}, o.got)

	// One that the older process has is answered with what that tells of its end.
	b := o.order("bb")
	o.expect("claim")
	o.partner(handover.Known, handover.Message{IdempotencyKey: "bb", Digest: digest, At: closes})
	require.False(t, b.running)
	require.Len(t, o.got, 2)
	o.partner(handover.Completed, handover.Message{IdempotencyKey: "bb", OK: true, Body: []byte("x")})
	require.Equal(t, Served, o.got[2])
	o.order("bb") // not claimed any more
	require.Equal(t, Served, o.got[3])

	// A key under another body is nobody's.
	o.partner(handover.Known, handover.Message{IdempotencyKey: "cc", Digest: digest + 1, At: closes})
	o.order("cc")
	require.Equal(t, Invalid, o.got[4])

	// Without an answer nothing is run, and a grant that comes too late is given back.
	d := o.order("dd")
	o.expect("claim")
	o.clock.now += claimLimit
	o.deadlines.Sweep(o.clock.now)
	require.False(t, d.running)
	require.Equal(t, Failed, o.got[5])
	o.partner(handover.Grant, handover.Message{IdempotencyKey: "dd"})
	o.expect("free")

	// When the older process has ended, its runs may have had their effect; what it did not know may run.
	o.partner(handover.Known, handover.Message{IdempotencyKey: "ee", Digest: digest, At: closes})
	o.order("ee")
	f := o.order("ff")
	o.expect("claim")
	o.partnerEnded(o.link)
	o.step()
	require.Equal(t, Failed, o.got[6])
	require.True(t, f.running)
	require.Nil(t, o.order("ee"))
	require.Equal(t, Failed, o.got[7])
	require.EqualValues(t, 2, o.stats.Runs)
}

// The older process tells all it knows, grants what it does not know, and from then on leaves that alone.
func TestOlderGrantsKeys(t *testing.T) {
	o := withPartner(t)
	over, held := o.order("aa"), o.order("bb")
	o.finish(over, admission.OutcomeOK, []byte("x"))
	require.True(t, held.running)
	o.joinedNewer(o.link)
	count := map[string]int{}
	for count["synced"] == 0 {
		require.True(t, o.told.Scan())
		cmd, _, _ := strings.Cut(strings.TrimPrefix(o.told.Text(), `{"cmd":"`), `"`)
		count[cmd]++
	}
	require.Equal(t, map[string]int{"known": 2, "over": 1, "synced": 1}, count)
	claim := handover.Message{IdempotencyKey: "cc", Digest: o.keys.digest(Attempt{}), At: o.clock.now}
	o.partner(handover.Claim, claim)
	o.expect("grant")
	c := o.order("cc")
	require.False(t, c.running)
	o.partner(handover.Completed, handover.Message{IdempotencyKey: "cc", OK: true})
	require.Equal(t, []any{Served, Served}, o.got)
	o.partner(handover.Claim, handover.Message{IdempotencyKey: "bb", At: o.clock.now})
	o.expect("known")
	o.finish(held, admission.OutcomeFailed, nil)
	o.expect("over")

	// What the newer one gave back may be run here.
	claim.IdempotencyKey = "dd"
	o.partner(handover.Claim, claim)
	o.expect("grant")
	o.partner(handover.Released, handover.Message{IdempotencyKey: "dd"})
	require.True(t, o.order("dd").running)
	last := string(rune('a' + o.last))
	o.expect("known")

	// SIGTERM is no drain now: nobody is sent elsewhere, and new connections are the newer one's.
	o.Drain()
	o.do()
	o.step()
	require.True(t, o.good)
	require.True(t, o.drain.on)
	o.deadlines.Sweep(o.clock.now)
	require.True(t, o.drain.shutDone)
	require.False(t, o.finished()) // a front end is still there
	o.forgetPeer(o.peers.of(o.peer))
	require.False(t, o.finished()) // the newer process is still to hear how the last order ends
	o.finish(o.byWire[last], admission.OutcomeOK, nil)
	o.expect("over")
	require.True(t, o.finished())
}

// The two processes share the descriptors of one: the older gives up idle connections, and none that is busy.
func TestSharedDescriptors(t *testing.T) {
	o := withPartner(t)
	o.cfg.Limits.Sockets = 4 * (sparePeers + 3) // 3 connections for each of two
	busy := o.order("aa").peer
	var idle []*peer
	for range 2*(sparePeers+3) - sparePeers - 1 {
		p := &peer{}
		o.ConnectionOpened(p)
		idle = append(idle, p)
	}
	o.do()
	o.joinedNewer(o.link)
	require.Equal(t, 3, o.peers.size())
	require.NotNil(t, o.peers.of(busy))
	o.partnerEnded(o.link)
	o.ConnectionOpened(&peer{})
	o.do()
	require.Equal(t, 4, o.peers.size())
	closed := 0
	for _, p := range idle {
		closed += len(p.got)
	}
	require.Equal(t, len(idle)-2, closed)
}

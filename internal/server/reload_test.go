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
func TestReload(t *testing.T) {
	server, runPosted := newIdleServer(t)
	server.handleHandshake(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	calls := uint32(0)
	var got []any
	submit := func(class string) *activeRequest {
		calls++
		conn := &recordingConnection{}
		server.ConnectionOpened(conn)
		id := string(rune('a' + calls))
		server.Submit(conn, calls, Attempt{ID: id, IdempotencyKey: id, Class: class, ArrivedAt: server.clock.now, Timeout: 2 * time.Second, MemoryKB: 1})
		runPosted()
		server.step()
		return server.requests.byAttemptID[id]
	}
	old := submit("licence-order")
	require.True(t, old.running())

	fresh := *server.config.Config
	fresh.Classes = []string{"poster", "preview", "hires-crop"}
	set := server.config.Settings
	set.Classes = []admission.Class{set.Classes[2], set.Classes[0], set.Classes[1]}
	set.Cores++
	set.Classes[1].Deadline = time.Second // front ends of before wait longer
	fresh.Settings = set
	server.Reload(&fresh, nil)
	runPosted()
	require.Equal(t, []string{"preview", "hires-crop", "licence-order", "poster"}, server.config.Classes)
	require.Equal(t, set.Cores, server.config.Settings.Cores)
	require.Equal(t, "licence-order", server.config.Classes[old.class])
	added := submit("poster")
	require.True(t, added.running())
	require.Equal(t, 3, added.class)
	late := submit("licence-order")
	patient := submit("preview")
	require.True(t, late.running())
	for _, r := range []*activeRequest{old, added, late, patient} {
		server.completeRun(r, admission.OutcomeOK, nil)
		got = append(got, r.connection.(*recordingConnection).received...)
	}
	require.Equal(t, []any{Served, Served, Served, Served}, got)
	require.EqualValues(t, 2, server.stats.Answers["licence-order"].Served)
	require.EqualValues(t, 1, server.stats.Answers["poster"].Served)

	// In the end a class that is gone is unknown, and one that comes back has its place again.
	server.clock.now += server.config.maxArrivalAge()
	server.deadlines.Sweep(server.clock.now)
	require.Nil(t, submit("licence-order"))
	back := *server.config.Config
	back.Classes, back.Settings.Classes = fresh.Classes[:1], set.Classes[:1]
	back.Classes = []string{"licence-order"}
	server.Reload(&back, nil)
	runPosted()
	require.Equal(t, 2, submit("licence-order").class)

	server.Reload(nil, errors.New("no such key"))
	runPosted()
	require.EqualValues(t, 2, server.stats.Reloads)
	require.EqualValues(t, 1, server.stats.ReloadsFailed)
}

// A class whose requests may not be repeated as before is another class to what is in hand.
func TestClassIdempotencyChanges(t *testing.T) {
	all, names := mergeClasses([]admission.Class{{Idempotency: admission.IdempotentByKey}}, []admission.Class{{Idempotency: admission.Safe}},
		[]string{"order"}, []string{"order"})
	require.Equal(t, []admission.Class{{Idempotency: admission.IdempotentByKey, Removed: true}, {Idempotency: admission.Safe}}, all)
	require.Equal(t, []string{"order", "order"}, names)
}

// When a class gets another name, a request that is tried again comes under the new one with the old key.
func TestRetryUnderRenamedClass(t *testing.T) {
	server, runPosted := newIdleServer(t)
	server.handleHandshake(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	submit := func(call uint32, class string) {
		server.Submit(conn, call, Attempt{ID: string(rune('a' + call)), IdempotencyKey: "k", Class: class, ArrivedAt: server.clock.now, Timeout: time.Second,
			MemoryKB: 1, Body: []byte("order")})
		runPosted()
		server.step()
	}
	submit(1, "licence-order")
	fresh := *server.config.Config
	fresh.Classes = []string{"preview", "hires-crop", "order"}
	server.Reload(&fresh, nil)
	runPosted()
	submit(2, "order")
	server.completeRun(server.requests.byAttemptID["b"], admission.OutcomeOK, nil)
	require.Equal(t, []any{Served, Served}, conn.received)
	require.EqualValues(t, 1, server.stats.Runs)
}

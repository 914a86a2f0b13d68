package server

import (
	"errors"
	"testing"
	"time"

	"falldeal/admission"

	"github.com/stretchr/testify/require"
)

// submitOnNewConnection submits a request on a new connection, and lets the controller decide on it.
func submitOnNewConnection(server *Server, handleInbox func(), call uint32, class string) *activeRequest {
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	id := string(rune('a' + call))
	attempt := newAttempt(server, id, class)
	attempt.IdempotencyKey, attempt.Timeout = id, 2*time.Second
	server.Submit(conn, call, attempt)
	handleInbox()
	server.step()
	return server.requests.byAttemptID[id]
}

// New settings must apply at once to requests that arrive. A removed class must keep its active requests and accept those
// that front ends still send, because they learn of the change late. A new class must be served like any other.
func TestReloadChangesClasses(t *testing.T) {
	server, handleInbox := newServerWithoutLoop(t)
	startAgent(server)
	calls := uint32(0)
	submit := func(class string) *activeRequest {
		calls++
		return submitOnNewConnection(server, handleInbox, calls, class)
	}
	var got []any
	old := submit("licence-order")
	require.True(t, old.running())

	loaded := *server.config.Config
	loaded.Classes = []string{"poster", "preview", "hires-crop"}
	settings := server.config.Settings
	settings.Classes = []admission.Class{settings.Classes[2], settings.Classes[0], settings.Classes[1]}
	settings.Cores++
	settings.Classes[1].Deadline = time.Second // front ends that do not know it yet wait for longer
	loaded.Settings = settings
	server.Reload(&loaded)
	handleInbox()
	require.Equal(t, []string{"preview", "hires-crop", "licence-order", "poster"}, server.config.Classes)
	require.Equal(t, settings.Cores, server.config.Settings.Cores)
	require.Equal(t, "licence-order", server.config.Classes[old.class])
	added := submit("poster")
	require.True(t, added.running())
	require.Equal(t, 3, added.class)
	late := submit("licence-order")
	patient := submit("preview")
	require.True(t, late.running())
	for _, request := range []*activeRequest{old, added, late, patient} {
		server.completeRun(request, admission.OutcomeOK, nil)
		conn, ok := request.connection.(*recordingConnection)
		require.True(t, ok)
		got = append(got, conn.recorded...)
	}
	require.Equal(t, []any{Served, Served, Served, Served}, got)
	require.EqualValues(t, 2, server.stats.Responses["licence-order"].Served)
	require.EqualValues(t, 1, server.stats.Responses["poster"].Served)

	// After maxArrivalAge a removed class is unknown. A class that is added again gets its former index.
	server.clock.now += server.config.maxArrivalAge()
	server.deadlines.Sweep(server.clock.now)
	require.Nil(t, submit("licence-order"))
	back := *server.config.Config
	back.Classes, back.Settings.Classes = loaded.Classes[:1], settings.Classes[:1]
	back.Classes = []string{"licence-order"}
	server.Reload(&back)
	handleInbox()
	require.Equal(t, 2, submit("licence-order").class)

	server.ReloadFailed(errors.New("no such key"))
	handleInbox()
	require.EqualValues(t, 2, server.stats.Reloads)
	require.EqualValues(t, 1, server.stats.ReloadsFailed)
}

// A class whose idempotency has changed must get a new index, because active requests refer to the old one.
func TestClassWithChangedIdempotencyGetsNewIndex(t *testing.T) {
	current := []admission.Class{{Idempotency: admission.IdempotentByKey}}
	loaded := []admission.Class{{Idempotency: admission.Safe}}
	classes, names := mergeClasses(current, loaded, []string{"order"}, []string{"order"})
	require.Equal(t, []admission.Class{
		{Idempotency: admission.IdempotentByKey, Removed: true},
		{Idempotency: admission.Safe},
	}, classes)
	require.Equal(t, []string{"order", "order"}, names)
}

// After a class was renamed, a retry that arrives under the new name with the old key must not run again.
func TestRetryUnderRenamedClass(t *testing.T) {
	server, handleInbox := newServerWithoutLoop(t)
	startAgent(server)
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	submit := func(call uint32, class string) {
		attempt := newAttempt(server, string(rune('a'+call)), class)
		attempt.IdempotencyKey, attempt.Timeout, attempt.Body = "k", time.Second, []byte("order")
		server.Submit(conn, call, attempt)
		handleInbox()
		server.step()
	}
	submit(1, "licence-order")
	loaded := *server.config.Config
	loaded.Classes = []string{"preview", "hires-crop", "order"}
	server.Reload(&loaded)
	handleInbox()
	submit(2, "order")
	server.completeRun(server.requests.byAttemptID["b"], admission.OutcomeOK, nil)
	require.Equal(t, []any{Served, Served}, conn.recorded)
	require.EqualValues(t, 1, server.stats.Runs)
}

package server

import (
	"errors"
	"testing"
	"time"

	"falldeal/admission"

	"github.com/stretchr/testify/require"
)

// submitOnNewConnection submits a request on a connection of its own, and lets the controller decide on it.
func submitOnNewConnection(server *Server, runPosted func(), call uint32, class string) *activeRequest {
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	id := string(rune('a' + call))
	attempt := newAttempt(server, id, class)
	attempt.IdempotencyKey, attempt.Timeout = id, 2*time.Second
	server.Submit(conn, call, attempt)
	runPosted()
	server.step()
	return server.requests.byAttemptID[id]
}

// New settings count at once for what arrives: a class that is gone keeps its active requests and accepts those that
// front ends, which learn of it late, still send; a new one is served like any other.
func TestReload(t *testing.T) {
	server, runPosted := newIdleServer(t)
	startAgent(server)
	calls := uint32(0)
	submit := func(class string) *activeRequest {
		calls++
		return submitOnNewConnection(server, runPosted, calls, class)
	}
	var got []any
	old := submit("licence-order")
	require.True(t, old.running())

	loaded := *server.config.Config
	loaded.Classes = []string{"poster", "preview", "hires-crop"}
	settings := server.config.Settings
	settings.Classes = []admission.Class{settings.Classes[2], settings.Classes[0], settings.Classes[1]}
	settings.Cores++
	settings.Classes[1].Deadline = time.Second // front ends that have not learned of it wait longer
	loaded.Settings = settings
	server.Reload(&loaded)
	runPosted()
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

	// In the end a class that is gone is unknown, and one that comes back has its index again.
	server.clock.now += server.config.maxArrivalAge()
	server.deadlines.Sweep(server.clock.now)
	require.Nil(t, submit("licence-order"))
	back := *server.config.Config
	back.Classes, back.Settings.Classes = loaded.Classes[:1], settings.Classes[:1]
	back.Classes = []string{"licence-order"}
	server.Reload(&back)
	runPosted()
	require.Equal(t, 2, submit("licence-order").class)

	server.ReloadFailed(errors.New("no such key"))
	runPosted()
	require.EqualValues(t, 2, server.stats.Reloads)
	require.EqualValues(t, 1, server.stats.ReloadsFailed)
}

// A class whose idempotency has changed is another class to active requests.
func TestClassIdempotencyChanges(t *testing.T) {
	current := []admission.Class{{Idempotency: admission.IdempotentByKey}}
	loaded := []admission.Class{{Idempotency: admission.Safe}}
	classes, names := mergeClasses(current, loaded, []string{"order"}, []string{"order"})
	require.Equal(t, []admission.Class{
		{Idempotency: admission.IdempotentByKey, Removed: true},
		{Idempotency: admission.Safe},
	}, classes)
	require.Equal(t, []string{"order", "order"}, names)
}

// When a class is renamed, a retry arrives under the new name with the old key.
func TestRetryUnderRenamedClass(t *testing.T) {
	server, runPosted := newIdleServer(t)
	startAgent(server)
	conn := &recordingConnection{}
	server.ConnectionOpened(conn)
	submit := func(call uint32, class string) {
		attempt := newAttempt(server, string(rune('a'+call)), class)
		attempt.IdempotencyKey, attempt.Timeout, attempt.Body = "k", time.Second, []byte("order")
		server.Submit(conn, call, attempt)
		runPosted()
		server.step()
	}
	submit(1, "licence-order")
	loaded := *server.config.Config
	loaded.Classes = []string{"preview", "hires-crop", "order"}
	server.Reload(&loaded)
	runPosted()
	submit(2, "order")
	server.completeRun(server.requests.byAttemptID["b"], admission.OutcomeOK, nil)
	require.Equal(t, []any{Served, Served}, conn.recorded)
	require.EqualValues(t, 1, server.stats.Runs)
}

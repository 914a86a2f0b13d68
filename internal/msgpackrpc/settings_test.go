package msgpackrpc

import (
	"strings"
	"testing"

	"falldeal/internal/server"

	"github.com/stretchr/testify/require"
)

// Other customers' front ends tell neither how long they wait nor what to expect, and their settings name what the
// sockets have no message for. Such requests are run, and have until their class's deadline; before, each was answered
// as wrong.
func TestOptionalFieldsMayBeAbsent(t *testing.T) {
	peers := startServer(t, `"PassesDeadline": true`, `"PassesDeadline": false`, `"Halt": "off"`, `"Halt": "drop"`,
		`"DeadlineUs": 7000000`, `"DeadlineUs": 150000`)
	client := peers.dial()
	absentFields := []string{"wait", absentField, "cost", absentField, "rank", absentField}
	runID := client.sendRequest("hires-crop", "x", absentFields...)
	peers.expectCommand("launch", runID)
	peers.agentSends("outcome", runID, "success", []byte("x"))
	client.expectAnswer(1, "x")
	slowID := client.sendRequest("preview", "y", absentFields...)
	peers.expectCommand("launch", slowID)
	client.expectAnswer(2, codeInternal) // by the deadline of its class, though its run goes on
	peers.agentSends("outcome", slowID, "success", nil)
	client.sendRequest("hires-crop", "z", "kb", absentField)
	client.expectAnswer(3, codeInvalid)
}

// Where a site has tenants, a request names its own, and marks a further try; a name that is none of the site's is a wrong
// request. Where it has none, both fields are passed over.
func TestTenantField(t *testing.T) {
	peers := startServer(t, `"Tenants": []`, `"Tenants": [{"Name": "a", "Portion": 0.5, "QuotaPerS": 9}, {"Name": "b", "Portion": 0.5, "QuotaPerS": 9}]`)
	client := peers.dial()
	for _, tenant := range []string{"b", absentField} {
		runID := client.sendRequest("preview", "x", "tenant", tenant, "retry", "1")
		peers.expectCommand("launch", runID)
		peers.agentSends("outcome", runID, "success", []byte("x"))
		client.expectAnswer(int(client.lastCall), "x")
	}
	client.sendRequest("preview", "x", "tenant", "nobody")
	client.expectAnswer(3, codeInvalid)
	untenanted := startServer(t)
	other := untenanted.dial()
	untenanted.expectCommand("launch", other.sendRequest("preview", "x", "tenant", "nobody"))

	var attempts []server.Attempt
	for _, fields := range []map[string]string{{"tenant": "a", "retry": "1"}, {"retry": "0"}, {"tenant": strings.Repeat("x", maxKeyLength+1)}} {
		requestFields := sampleFields()
		for name, value := range fields {
			requestFields[name] = value
		}
		msg, err := parseMessage(appendRequest(1, "preview", requestFields, nil))
		require.NoError(t, err)
		attempt, err := parseRequest(msg, new(methodCache))
		require.Equal(t, len(fields["tenant"]) > maxKeyLength, err != nil, "%v", err)
		attempts = append(attempts, attempt)
	}
	require.Equal(t, "a", attempts[0].Tenant)
	require.True(t, attempts[0].Retry)
	require.False(t, attempts[1].Retry)
}

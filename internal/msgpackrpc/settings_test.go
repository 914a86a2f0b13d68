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
func TestRequestsThatTellLittle(t *testing.T) {
	p := start(t, `"PassesDeadline": true`, `"PassesDeadline": false`, `"Halt": "off"`, `"Halt": "drop"`,
		`"DeadlineUs": 7000000`, `"DeadlineUs": 150000`)
	f := p.dial()
	little := []string{"wait", absent, "cost", absent, "rank", absent}
	run := f.send("hires-crop", "x", little...)
	p.expect("launch", run)
	p.tell("outcome", run, "success", []byte("x"))
	f.expectAnswer(1, "x")
	slow := f.send("preview", "y", little...)
	p.expect("launch", slow)
	f.expectAnswer(2, errFailed) // by the deadline of its class, though its run goes on
	p.tell("outcome", slow, "success", nil)
	f.send("hires-crop", "z", "kb", absent)
	f.expectAnswer(3, errInvalid)
}

// Where a site has tenants, a request names its own, and marks a further try; a name that is none of the site's is a wrong
// request. Where it has none, both fields are passed over.
func TestTenants(t *testing.T) {
	p := start(t, `"Tenants": []`, `"Tenants": [{"Name": "a", "Portion": 0.5, "QuotaPerS": 9}, {"Name": "b", "Portion": 0.5, "QuotaPerS": 9}]`)
	f := p.dial()
	for _, tenant := range []string{"b", absent} {
		run := f.send("preview", "x", "tenant", tenant, "retry", "1")
		p.expect("launch", run)
		p.tell("outcome", run, "success", []byte("x"))
		f.expectAnswer(int(f.next), "x")
	}
	f.send("preview", "x", "tenant", "nobody")
	f.expectAnswer(3, errInvalid)
	plain := start(t)
	g := plain.dial()
	plain.expect("launch", g.send("preview", "x", "tenant", "nobody"))

	var tries []server.Attempt
	for _, fields := range []map[string]string{{"tenant": "a", "retry": "1"}, {"retry": "0"}, {"tenant": strings.Repeat("x", maxText+1)}} {
		all := sampleFields()
		for name, value := range fields {
			all[name] = value
		}
		m, err := parseMessage(appendRequest(1, "preview", all, nil))
		require.NoError(t, err)
		try, err := parseTry(m, new(names))
		require.Equal(t, len(fields["tenant"]) > maxText, err != nil, "%v", err)
		tries = append(tries, try)
	}
	require.Equal(t, "a", tries[0].Tenant)
	require.True(t, tries[0].Retry)
	require.False(t, tries[1].Retry)
}

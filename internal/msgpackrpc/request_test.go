package msgpackrpc

import (
	"strings"
	"testing"
	"time"

	"falldeal/internal/server"

	"github.com/stretchr/testify/require"
)

func TestParseRequest(t *testing.T) {
	got, err := parseRequest(mustParse(t, encodeRequest(7, "preview", sampleFields(), []byte{0, 255})), &methodCache{})
	require.NoError(t, err)
	require.Equal(t, server.Attempt{
		ID:             "9b1f03aa5c7e2d41",
		IdempotencyKey: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
		Subject:        "7f3a",
		Class:          "preview",
		ArrivedAt:      1764576000123 * time.Millisecond,
		Timeout:        480 * time.Millisecond,
		Client:         4,
		CostHint:       12500 * time.Microsecond,
		MemoryKB:       24.5,
		Rank:           0.625,
		Body:           []byte{0, 255},
	}, got)
}

// The error for an invalid request must name the part or field, so that the sender can find the fault.
func TestInvalidFieldIsNamedInError(t *testing.T) {
	for name, bad := range map[string][]string{
		"id": {"", "9b1f", "9b1f03aa5c7e2d4g", "9b1f03aa5c7e2d41\r\n"}, "at": {"", "-1", "x", "99999999999999999999"},
		"from": {"", "-1"}, "wait": {"", "-5", "1e3", "99999999999"}, "cost": {"", "-1", "nan", "inf"},
		"kb": {"0", "2000", "", "nan"}, "rank": {"1", "-0.1", ""}, "once": {"", "x"},
		"key": {strings.Repeat("k", maxKeyLength+1)},
	} {
		for _, value := range bad {
			fields := sampleFields()
			fields[name] = value
			_, err := parseRequest(mustParse(t, encodeRequest(7, "preview", fields, nil)), &methodCache{})
			require.ErrorContains(t, err, "field "+name, "%q", value)
		}
	}
	for _, test := range []struct{ want, frame string }{
		{"body", string(encodeRequest(7, "preview", sampleFields(), make([]byte, maxBody+1)))},
		{"body", "\x94\x00\x07\xa1x" + "\x92" + string(appendFields(nil, sampleFields())) + "\xa1b"},
		{"fields", "\x94\x00\x07\xa1x\x92\x01\xc4\x00"},
		{"field id", "\x94\x00\x07\xa1x\x92\x81\xa2id\x01\xc4\x00"},
		{"field ", "\x94\x00\x07\xa1x\x92\x81\x01\xa2id\xc4\x00"},
		{"parameters", "\x94\x00\x07\xa1x\x91\x80"},
		{"parameters", "\x94\x00\x07\xa1x\xc0"},
		{"method", "\x94\x00\x07\xc0\x92\x80\xc4\x00"},
		{"method", "\x94\x00\x07\xa0\x92\x80\xc4\x00"},
	} {
		_, err := parseRequest(mustParse(t, []byte(test.frame)), &methodCache{})
		require.ErrorContains(t, err, test.want, "%q", test.frame)
	}
}

// If a field occurs twice, the last value counts. Unknown fields are ignored.
func TestLastValueOfRepeatedFieldCounts(t *testing.T) {
	b := append([]byte("\x94\x00\x07\xa7preview\x92\x8b"), appendFields(nil, sampleFields())[1:]...)
	b = append(b, "\xa4rank\xa30.5\xa5other\xa1x\xc4\x00"...)
	attempt, err := parseRequest(mustParse(t, b), &methodCache{})
	require.NoError(t, err)
	require.InDelta(t, 0.5, attempt.Rank, 0)
	require.Empty(t, attempt.Body)
}

// Some clients send no timeout, no cost hint and no rank, and their servers have settings for features that this protocol has
// no message for. Their requests used to be answered as invalid. They must run with the deadline of their class.
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
	client.expectAnswer(2, codeInternal) // at the deadline of its class, although the run continues
	peers.agentSends("outcome", slowID, "success", nil)
	client.sendRequest("hires-crop", "z", "kb", absentField)
	client.expectAnswer(3, codeInvalid)
}

// If the configuration has tenants, a request names its tenant and marks retries; an unknown tenant makes the request
// invalid. Without tenants in the configuration, an unknown tenant is ignored.
func TestTenantAndRetryFields(t *testing.T) {
	peers := startServer(t, `"Tenants": []`,
		`"Tenants": [{"Name": "a", "Portion": 0.5, "QuotaPerS": 9}, {"Name": "b", "Portion": 0.5, "QuotaPerS": 9}]`)
	client := peers.dial()
	for _, tenant := range []string{"b", absentField} {
		runID := client.sendRequest("preview", "x", "tenant", tenant, "retry", "1")
		peers.expectCommand("launch", runID)
		peers.agentSends("outcome", runID, "success", []byte("x"))
		client.expectAnswer(int(client.lastCall), "x")
	}
	client.sendRequest("preview", "x", "tenant", "nobody")
	client.expectAnswer(3, codeInvalid)
	withoutTenants := startServer(t)
	other := withoutTenants.dial()
	withoutTenants.expectCommand("launch", other.sendRequest("preview", "x", "tenant", "nobody"))

	var attempts []server.Attempt
	for _, fields := range []map[string]string{
		{"tenant": "a", "retry": "1"},
		{"retry": "0"},
		{"tenant": strings.Repeat("x", maxKeyLength+1)},
	} {
		requestFields := sampleFields()
		for name, value := range fields {
			requestFields[name] = value
		}
		msg, err := parseMessage(encodeRequest(1, "preview", requestFields, nil))
		require.NoError(t, err)
		attempt, err := parseRequest(msg, new(methodCache))
		require.Equal(t, len(fields["tenant"]) > maxKeyLength, err != nil, "%v", err)
		attempts = append(attempts, attempt)
	}
	require.Equal(t, "a", attempts[0].Tenant)
	require.True(t, attempts[0].Retry)
	require.False(t, attempts[1].Retry)
}

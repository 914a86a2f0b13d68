package wire

import (
	"errors"
	"testing"
	"time"

	"falldeal/admission"

	"github.com/stretchr/testify/require"
)

// Each kind of action must be written in its line format, and a text with line breaks must not break the line protocol.
func TestAppendAction(t *testing.T) {
	for want, action := range map[string]admission.Action{
		"SERVE 3 9": {Kind: admission.ActionRun, ID: 9},
		"YANK 3 9":  {Kind: admission.ActionStop, ID: 9},
		"OVERLOAD_REPLY 3 9 250000 1": {Kind: admission.ActionReject, ID: 9, Rejection: admission.Rejection{
			RetryAfter: 250 * time.Millisecond, NoRetryElsewhere: true}},
		"LOSE 3 9":             {Kind: admission.ActionFail, ID: 9},
		"ASK_BELOW 3 9 80000":  {Kind: admission.ActionCall, ID: 9, Timeout: 80 * time.Millisecond},
		"SKIP 3 9":             {Kind: admission.ActionSkipCall, ID: 9},
		"KEEP 3 9 8000000":     {Kind: admission.ActionRemember, ID: 9, Duration: 8 * time.Second},
		"EVICT 3 9":            {Kind: admission.ActionForget, ID: 9},
		"ANSWER_FROM 3 9":      {Kind: admission.ActionReuse, ID: 9},
		"HEALTH 3 0 1":         {Kind: admission.ActionHealth, Health: admission.HealthAnswer{Cached: true}},
		"SAY 3 0.25":           {Kind: admission.ActionAdvertise, Value: 0.25},
		"IDLE_LIMIT 3 2000000": {Kind: admission.ActionIdleTimeout, Duration: 2 * time.Second},
		"WAKE_ME 3 8912251 w":  {Kind: admission.ActionWake, At: 8912250*microsecond + 1},
		"REMARK 3 circuit breaker dropping calls: ends": {Kind: admission.ActionLog, Condition: admission.ConditionChange{Condition: admission.ConditionBreaker}},
	} {
		require.Equal(t, want+"\n", string(AppendAction(nil, 3, action)))
	}
	require.Equal(t, "REMARK 3 two servers\n", string(appendRemark(nil, 3, "two\nservers")))
	require.Equal(t, "BROKEN 5 bad thing\n", string(AppendBroken(nil, 5, errors.New("bad\nthing"))))
}

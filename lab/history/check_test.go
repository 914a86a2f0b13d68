package history

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// withKey returns the AttemptSent event of an attempt with the idempotency key o1.
func withKey(at time.Duration, id, server string, deadline time.Duration) Event {
	return Event{
		At: at, Kind: AttemptSent, AttemptID: id, IdempotencyKey: "o1", Server: server, Deadline: deadline,
	}
}

// Guards against a checker that misses violations, or reports valid behavior: a valid history passes, and a violation that is
// added to it is found by its rule and by no other.
func TestCheckFindsAddedViolations(t *testing.T) {
	valid := []Event{
		{At: 0, Kind: ProcessChanged, Server: "n1", Detail: "started"},
		{At: 0, Kind: ProcessChanged, Server: "n2", Detail: "started"},
		withKey(1*time.Second, "a", "n1", 4*time.Second),
		{At: 1 * time.Second, Kind: AttemptSent, AttemptID: "b", Server: "n2", Deadline: 4 * time.Second},
		{At: 2 * time.Second, Kind: RunStarted, AttemptID: "a", Server: "n1"},
		{At: 2 * time.Second, Kind: CallStarted, AttemptID: "a"},
		{At: 3 * time.Second, Kind: CallEnded, AttemptID: "a"},
		{At: 3 * time.Second, Kind: AttemptAnswered, AttemptID: "a", Server: "n1", Detail: "served"},
		{At: 4 * time.Second, Kind: AttemptAnswered, AttemptID: "b", Server: "n2", Detail: "refused"},
		{At: 5 * time.Second, Kind: AttemptSent, AttemptID: "c", Server: "n1", Deadline: 6 * time.Second},
		{At: 5 * time.Second, Kind: ProcessChanged, Server: "n1", Detail: "stopped"},
		{At: 8 * time.Second, Kind: ProcessChanged, Server: "n1", Detail: "continued"},
		{At: 8 * time.Second, Kind: AttemptAnswered, AttemptID: "c", Server: "n1", Detail: "failed"}, // late, but its server was paused
		{At: 9 * time.Second, Kind: ProcessChanged, Server: "n2", Detail: "killed"},
		{At: 10 * time.Second, Kind: ViewChanged, Server: "n1", Member: "n2", Detail: "dead"},
		withKey(30*time.Second, "d", "n1", 33*time.Second),
		{At: 30 * time.Second, Kind: RunStarted, AttemptID: "d", Server: "n1"}, // after the idempotency window
		{At: 31 * time.Second, Kind: AttemptAnswered, AttemptID: "d", Server: "n1", Detail: "served"},
		{At: 32 * time.Second, Kind: ProcessChanged, Server: "n2", Detail: "started"},
		{At: 33 * time.Second, Kind: ViewChanged, Server: "n1", Member: "n2", Detail: "dead"}, // the restart was less than viewLag ago
	}
	rules := Rules{Slack: time.Second / 5, IdempotencyWindow: 17 * time.Second, MaxStoreCalls: 1}
	require.Empty(t, Check(valid, rules))
	for rule, added := range map[string][]Event{
		RuleSingleAnswer: {{At: 3 * time.Second, Kind: AttemptAnswered, AttemptID: "a", Server: "n1", Detail: "failed"}},
		RuleDeadline: {
			{At: 11 * time.Second, Kind: AttemptSent, AttemptID: "e", Server: "n1", Deadline: 12 * time.Second},
			{At: 13 * time.Second, Kind: AttemptAnswered, AttemptID: "e", Server: "n1", Detail: "served"},
		},
		RuleIdempotency: {
			withKey(7*time.Second, "f", "n2", 9*time.Second),
			{At: 8 * time.Second, Kind: RunStarted, AttemptID: "f", Server: "n2"},
		},
		RuleStoreCalls: {
			{At: 2 * time.Second, Kind: CallStarted, AttemptID: "x"},
			{At: 3 * time.Second, Kind: CallEnded, AttemptID: "x"},
		},
		RuleNoFalseFailure: {{At: 12 * time.Second, Kind: ViewChanged, Server: "n2", Member: "n1", Detail: "dead"}},
	} {
		events := slices.Concat(valid, added)
		slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
		violations := Check(events, rules)
		require.Len(t, violations, 1, rule)
		require.Equal(t, rule, violations[0].Rule)
	}
}

// Guards against losing a whole history because a crash of the laboratory left its last event incomplete: all events before
// that one must be read.
func TestReadIgnoresTruncatedLastEvent(t *testing.T) {
	var file bytes.Buffer
	require.NoError(t, json.NewEncoder(&file).Encode(Event{At: time.Second, Kind: AttemptSent}))
	events, err := Read(strings.NewReader(file.String() + `{"at":2000,"ki`))
	require.NoError(t, err)
	require.Equal(t, []Event{{At: time.Second, Kind: AttemptSent}}, events)
}

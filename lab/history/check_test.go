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

const s = time.Second

// Each planted fault must be found, by its rule and no other; a history without one must pass.
func TestPlantedFaultsAreFound(t *testing.T) {
	good := []Event{
		{At: 0, Kind: ProcessChanged, Server: "n1", Detail: "started"},
		{At: 0, Kind: ProcessChanged, Server: "n2", Detail: "started"},
		{At: 1 * s, Kind: AttemptSent, AttemptID: "a", IdempotencyKey: "o1", Server: "n1", Deadline: 4 * s},
		{At: 1 * s, Kind: AttemptSent, AttemptID: "b", Server: "n2", Deadline: 4 * s},
		{At: 2 * s, Kind: RunStarted, AttemptID: "a", Server: "n1"},
		{At: 2 * s, Kind: CallStarted, AttemptID: "a"},
		{At: 3 * s, Kind: CallEnded, AttemptID: "a"},
		{At: 3 * s, Kind: AttemptAnswered, AttemptID: "a", Server: "n1", Detail: "served"},
		{At: 4 * s, Kind: AttemptAnswered, AttemptID: "b", Server: "n2", Detail: "refused"},
		{At: 5 * s, Kind: AttemptSent, AttemptID: "c", Server: "n1", Deadline: 6 * s},
		{At: 5 * s, Kind: ProcessChanged, Server: "n1", Detail: "stopped"},
		{At: 8 * s, Kind: ProcessChanged, Server: "n1", Detail: "continued"},
		{At: 8 * s, Kind: AttemptAnswered, AttemptID: "c", Server: "n1", Detail: "failed"}, // it stood still
		{At: 9 * s, Kind: ProcessChanged, Server: "n2", Detail: "killed"},
		{At: 10 * s, Kind: ViewChanged, Server: "n1", Member: "n2", Detail: "dead"},
		{At: 30 * s, Kind: AttemptSent, AttemptID: "d", IdempotencyKey: "o1", Server: "n1", Deadline: 33 * s},
		{At: 30 * s, Kind: RunStarted, AttemptID: "d", Server: "n1"}, // past its window
		{At: 31 * s, Kind: AttemptAnswered, AttemptID: "d", Server: "n1", Detail: "served"},
		{At: 32 * s, Kind: ProcessChanged, Server: "n2", Detail: "started"},
		{At: 33 * s, Kind: ViewChanged, Server: "n1", Member: "n2", Detail: "dead"}, // it was, when that was found
	}
	rules := Rules{Slack: s / 5, IdempotencyWindow: 17 * s, MaxStoreCalls: 1}
	require.Empty(t, Check(good, rules))
	for rule, planted := range map[string][]Event{
		RuleSingleAnswer: {{At: 3 * s, Kind: AttemptAnswered, AttemptID: "a", Server: "n1", Detail: "failed"}},
		RuleDeadline: {{At: 11 * s, Kind: AttemptSent, AttemptID: "e", Server: "n1", Deadline: 12 * s},
			{At: 13 * s, Kind: AttemptAnswered, AttemptID: "e", Server: "n1", Detail: "served"}},
		RuleRunsOnce:     {{At: 7 * s, Kind: AttemptSent, AttemptID: "f", IdempotencyKey: "o1", Server: "n2", Deadline: 9 * s}, {At: 8 * s, Kind: RunStarted, AttemptID: "f", Server: "n2"}},
		RuleStoreCalls:   {{At: 2 * s, Kind: CallStarted, AttemptID: "x"}, {At: 3 * s, Kind: CallEnded, AttemptID: "x"}},
		RuleNoFalseDeath: {{At: 12 * s, Kind: ViewChanged, Server: "n2", Member: "n1", Detail: "dead"}},
	} {
		events := slices.Concat(good, planted)
		slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
		broken := Check(events, rules)
		require.Len(t, broken, 1, rule)
		require.Equal(t, rule, broken[0].Rule)
	}
}

// A history that a crash has cut off must be readable up to the break.
func TestCutHistory(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, json.NewEncoder(&b).Encode(Event{At: s, Kind: AttemptSent}))
	events, err := Read(strings.NewReader(b.String() + `{"at":2000,"ki`))
	require.NoError(t, err)
	require.Equal(t, []Event{{At: s, Kind: AttemptSent}}, events)
}

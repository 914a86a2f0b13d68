package admission

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	recordedSeeds        = 96
	recordedStepsPerSeed = 2500

	// recordedDigest is the digest of all actions and service rates of the recorded runs. It changes if the
	// controller decides differently, or if the generator of the events changes.
	recordedDigest = "cc4e9efe391454f1889593192d24a55fe731184594758bf367f8e2721993781b"
)

// recordedAction holds the fields of an Action that are part of the digest. Its layout is independent of
// Action, so that a change of Action does not change the digest.
type recordedAction struct {
	Kind       uint8
	ID         uint64
	Reason     uint8
	RetryAfter int64
	NoRetry    bool
	Timeout    int64
	Duration   int64
	Healthy    bool
	Cached     bool
	Value      uint64 // bits of the float64
	At         int64
}

// recordAction converts an action to the layout of the digest. The digest excludes Condition, which is only
// logged for operators, and the Cause of a rejection.
func recordAction(action *Action) recordedAction {
	return recordedAction{
		Kind:       uint8(action.Kind),
		ID:         uint64(action.ID),
		Reason:     uint8(action.Rejection.Reason),
		RetryAfter: int64(action.Rejection.RetryAfter),
		NoRetry:    action.Rejection.NoRetryElsewhere,
		Timeout:    int64(action.Timeout),
		Duration:   int64(action.Duration),
		Healthy:    action.Health.Healthy,
		Cached:     action.Health.Cached,
		Value:      math.Float64bits(action.Value),
		At:         int64(action.At),
	}
}

// recordedCoverage counts what occurred in the recorded runs.
type recordedCoverage struct {
	steps            int
	actions          map[ActionKind]int
	reasons          map[Reason]int
	events           map[EventKind]int
	outcomes         map[Outcome]int
	ranks            map[FleetRank]int
	reconfigured     int // Reconfigure succeeded
	rejectedSettings int // Reconfigure returned an error
}

func newRecordedCoverage() *recordedCoverage {
	return &recordedCoverage{actions: map[ActionKind]int{}, reasons: map[Reason]int{}, events: map[EventKind]int{},
		outcomes: map[Outcome]int{}, ranks: map[FleetRank]int{}}
}

func (r *recordedCoverage) countEvent(event *Event) {
	r.events[event.Kind]++
	switch event.Kind {
	case EventRequestArrived:
		r.ranks[event.Arrival.FleetRank]++
	case EventRunCompleted, EventCallCompleted:
		r.outcomes[event.Completion.Outcome]++
	case EventRequestCancelled, EventCallNeeded, EventDrain, EventTimer, EventDeregister, EventReregister: // nothing more
	}
}

func (r *recordedCoverage) countAction(action *Action) {
	r.actions[action.Kind]++
	if action.Kind == ActionReject {
		r.reasons[action.Rejection.Reason]++
	}
}

// record adds the actions of one step to the digest.
func record(t *testing.T, digest hash.Hash, now time.Duration, actions []Action) {
	t.Helper()
	require.NoError(t, binary.Write(digest, binary.LittleEndian, [2]int64{int64(now), int64(len(actions))}))
	for i := range actions {
		require.NoError(t, binary.Write(digest, binary.LittleEndian, recordAction(&actions[i])))
	}
}

// requireSameDecisions checks that the purging controller takes the same actions, except for wakes: a deadline that was
// purged causes none.
func (s *recordedServer) requireSameDecisions(events []Event, actions []Action) {
	s.t.Helper()
	isWake := func(action Action) bool { return action.Kind == ActionWake }
	want := slices.DeleteFunc(slices.Clone(actions), isWake)
	got := slices.DeleteFunc(s.purging.Step(s.now, events, nil), isWake)
	if !slices.Equal(want, got) {
		require.Equal(s.t, want, got) // prints the difference
	}
}

// Fails if a change that should not affect decisions, such as a refactoring, does affect one. The digest of
// all actions must stay the same for random events of every kind, under random settings.
func TestRecordedRun(t *testing.T) {
	digest := sha256.New()
	coverage := newRecordedCoverage()
	for seed := range uint64(recordedSeeds) {
		playRecorded(t, seed, digest, coverage)
	}
	requireCoverage(t, coverage)
	require.Equal(t, recordedDigest, hex.EncodeToString(digest.Sum(nil)))
}

// playRecorded runs a controller with random settings and events, which seed determines, and adds its actions
// to the digest.
func playRecorded(t *testing.T, seed uint64, digest hash.Hash, coverage *recordedCoverage) {
	t.Helper()
	const stream = 17
	server := newRecordedServer(t, rand.New(rand.NewPCG(seed, stream)), seed)
	var actions []Action
	for step := range recordedStepsPerSeed {
		server.operate(step, coverage)
		events := server.nextEvents(step)
		for i := range events {
			coverage.countEvent(&events[i])
		}
		actions = server.controller.Step(server.now, events, actions[:0])
		record(t, digest, server.now, actions)
		server.requireSameDecisions(events, actions)
		for i := range actions {
			coverage.countAction(&actions[i])
			server.carryOut(&actions[i])
		}
		if step%16 == 0 {
			rate := math.Float64bits(server.controller.ServiceRate())
			require.NoError(t, binary.Write(digest, binary.LittleEndian, rate))
		}
		coverage.steps++
	}
}

// requireCoverage checks that the recorded runs are long enough, and that each kind of event, action, reason,
// outcome, rank and reconfiguration occurred often enough in them.
func requireCoverage(t *testing.T, coverage *recordedCoverage) {
	t.Helper()
	const minimum = 20 // of each kind
	require.GreaterOrEqual(t, coverage.steps, 100_000)
	for kind := ActionRun; kind <= ActionLog; kind++ {
		assert.GreaterOrEqualf(t, coverage.actions[kind], minimum, "action %v", kind)
	}
	for reason := ReasonCPU; reason <= ReasonBelowThreshold; reason++ {
		assert.GreaterOrEqualf(t, coverage.reasons[reason], minimum, "reason %v", reason)
	}
	for kind := EventRequestArrived; kind <= EventReregister; kind++ {
		assert.GreaterOrEqualf(t, coverage.events[kind], minimum, "event %v", kind)
	}
	for outcome := OutcomeOK; outcome <= OutcomeNotStarted; outcome++ {
		assert.GreaterOrEqualf(t, coverage.outcomes[outcome], minimum, "outcome %v", outcome)
	}
	for rank := RankUnknown; rank <= RankBelowThreshold; rank++ {
		assert.GreaterOrEqualf(t, coverage.ranks[rank], minimum, "rank %v", rank)
	}
	assert.GreaterOrEqual(t, coverage.reconfigured, minimum)
	assert.GreaterOrEqual(t, coverage.rejectedSettings, minimum)
}

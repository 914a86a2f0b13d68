package fleetlab

import (
	"context"
	"fmt"
	"testing"
	"time"

	"falldeal/internal/fleet"
	"falldeal/lab/history"

	"github.com/stretchr/testify/require"
)

// expectation is a value that the view of an observer must have for a subject.
type expectation struct{ subject, value string }

// Subjects other than members. The subject of a member is its name.
const (
	subjectPosition   = "position" // of the observer
	subjectZonePrefix = "zone "
)

// Values for zones.
const (
	zoneReachable   = "reachable"
	zoneUnreachable = "unreachable"
)

// member expects the observer to report the condition for the named member.
func member(name string, condition history.Condition) expectation {
	return expectation{subject: name, value: string(condition)}
}

// zone expects the observer to report the state for the named zone.
func zone(name, state string) expectation {
	return expectation{subject: subjectZonePrefix + name, value: state}
}

// position expects the observer to report the position for itself.
func position(expected fleet.Position) expectation {
	return expectation{subject: subjectPosition, value: expected.ReportName()}
}

// members expects the observer to report the condition for each named member.
func members(condition history.Condition, names ...string) (expected []expectation) {
	for _, name := range names {
		expected = append(expected, member(name, condition))
	}
	return expected
}

// serving expects the observer to report each named member as serving.
func serving(names ...string) []expectation { return members(history.ConditionServing, names...) }

// unreachable expects the observer to report each named member as unreachable.
func unreachable(names ...string) []expectation {
	return members(history.ConditionUnreachable, names...)
}

// requireViews waits until the views of all observers meet all expectations. It fails the test after waitTimeout.
func (l *Lab) requireViews(t *testing.T, observers []string, expected ...expectation) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		mismatch := l.mismatch(t.Context(), observers, expected)
		if mismatch == "" {
			return
		}
		if time.Now().After(deadline) {
			require.FailNow(t, mismatch)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// requireFullyConnected waits until each observer reports all of them as serving and itself as fully connected.
func (l *Lab) requireFullyConnected(t *testing.T, observers []string) {
	t.Helper()
	l.requireViews(t, observers, append(serving(observers...), position(fleet.FullyConnected))...)
}

// mismatch describes the first expectation that the view of an observer does not meet. It returns "" if there is
// none.
func (l *Lab) mismatch(ctx context.Context, observers []string, expected []expectation) string {
	for _, name := range observers {
		observed, err := l.FindMember(name).observe(ctx)
		if err != nil {
			return fmt.Sprintf("%s: %v", name, err)
		}
		for _, want := range expected {
			if got := observed[want.subject]; got != want.value {
				return fmt.Sprintf("%s reports %s as %q, want %q", name, want.subject, got, want.value)
			}
		}
	}
	return ""
}

// observe returns the values in the member's view by subject.
func (m *Member) observe(ctx context.Context) (observed map[string]string, err error) {
	report, err := m.FleetReport(ctx)
	if err != nil {
		return nil, err
	}
	observed = map[string]string{subjectPosition: report.Position}
	for i := range report.Members {
		observed[report.Members[i].Name] = report.Members[i].Condition
	}
	for i := range report.Zones {
		state := zoneReachable
		if report.Zones[i].MostlyUnreachable {
			state = zoneUnreachable
		}
		observed[subjectZonePrefix+report.Zones[i].Zone] = state
	}
	return observed, nil
}

// isInPosition reports whether the member's process answers and reports the expected position for itself.
func (m *Member) isInPosition(ctx context.Context, expected fleet.Position) bool {
	report, err := m.FleetReport(ctx)
	return err == nil && report.Position == expected.ReportName()
}

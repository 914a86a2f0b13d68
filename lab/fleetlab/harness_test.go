package fleetlab

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"falldeal/lab/clients"
	"falldeal/lab/faults"
	"falldeal/lab/history"

	"github.com/stretchr/testify/require"
)

const (
	// waitTimeout bounds each wait for a condition; a verdict never depends on how long one took.
	waitTimeout = 90 * time.Second
	// answerSlack is by how much an answer may be late on a busy machine.
	answerSlack = 200 * time.Millisecond
	// logTail is how many lines of a process's log a failed test shows.
	logTail = 40
)

// buildPrograms builds the shipped programs with the race detector, and returns the path of falldeal.
func buildPrograms(tb testing.TB) (binary string) {
	tb.Helper()
	dir := tb.TempDir()
	cmd := exec.CommandContext(tb.Context(), "go", "build", "-race", "-o", dir, "../../cmd/falldeal", "../../cmd/falldeal-fleet")
	output, err := cmd.CombinedOutput()
	require.NoError(tb, err, "%s", output)
	return filepath.Join(dir, "falldeal")
}

// startLab starts a fleet that ends with the test. The test fails if a process has reported a data race, and shows
// the ends of the processes' logs if it has failed.
func startLab(t *testing.T, configure func(*Options)) *Lab {
	t.Helper()
	options := Defaults()
	options.Binary, options.Dir, options.Encrypted = buildPrograms(t), t.TempDir(), true
	configure(&options)
	started, err := New(t.Context(), options)
	require.NoError(t, err)
	t.Cleanup(func() {
		started.Close()
		for _, m := range started.Members {
			m.checkLog(t)
		}
	})
	require.NoError(t, started.StartMembers(t.Context()))
	return started
}

func (m *Member) checkLog(t *testing.T) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(m.dir, logFile))
	require.NoError(t, err)
	require.NotContains(t, string(text), "DATA RACE", m.Name)
	if t.Failed() {
		lines := strings.Split(string(text), "\n")
		t.Logf("%s:\n%s", m.Name, strings.Join(lines[max(len(lines)-logTail, 0):], "\n"))
	}
}

// inject starts a fault now. It lasts until the function is called that it returns.
func (l *Lab) inject(t *testing.T, fault faults.Fault) (end func()) {
	t.Helper()
	fault.Start = l.Log.Now()
	require.NoError(t, l.AddFault(fault))
	require.NoError(t, l.applyFaults(t.Context()))
	return func() {
		t.Helper()
		l.endInjected(fault)
		require.NoError(t, l.applyFaults(t.Context()))
	}
}

// endInjected has a fault of the script end now.
func (l *Lab) endInjected(fault faults.Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, scripted := range l.script {
		if scripted.Start == fault.Start && scripted.Kind == fault.Kind {
			scripted.Duration = max(l.Log.Now()-scripted.Start, 1)
		}
	}
}

// requireViews waits until the views of all observers hold what is wanted: NAME=CONDITION, "zone NAME"=lit or =dark,
// or position=POSITION.
func (l *Lab) requireViews(t *testing.T, observers []string, want ...string) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		mismatch := l.mismatch(t.Context(), observers, want)
		if mismatch == "" {
			return
		}
		if time.Now().After(deadline) {
			require.FailNow(t, mismatch)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// mismatch says how the view of one of the observers differs from what is wanted; empty if none does.
func (l *Lab) mismatch(ctx context.Context, observers, want []string) string {
	for _, name := range observers {
		observed, err := l.FindMember(name).observe(ctx)
		if err != nil {
			return fmt.Sprintf("%s: %v", name, err)
		}
		for _, w := range want {
			about, condition, _ := strings.Cut(w, "=")
			if observed[about] != condition {
				return fmt.Sprintf("%s says that %s is %q, want %q", name, about, observed[about], condition)
			}
		}
	}
	return ""
}

// observe returns the conditions in the member's view.
func (m *Member) observe(ctx context.Context) (observed map[string]string, err error) {
	report, err := m.FleetReport(ctx)
	if err != nil {
		return nil, err
	}
	observed = map[string]string{"position": report.Position}
	for _, member := range report.Members {
		observed[member.Name] = member.Condition
	}
	for _, zone := range report.Zones {
		observed["zone "+zone.Zone] = map[bool]string{true: "dark", false: "lit"}[zone.MostlyUnreachable]
	}
	return observed, nil
}

// position returns that of the member's view; empty if the process does not answer.
func (m *Member) position(ctx context.Context) string {
	report, err := m.FleetReport(ctx)
	if err != nil {
		return ""
	}
	return report.Position
}

// memberNames returns the names of the first n members.
func memberNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("n%d", i))
	}
	return names
}

// without returns the names without one.
func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

// serving returns that members are serving, as requireViews takes it.
func serving(names ...string) (want []string) {
	for _, name := range names {
		want = append(want, name+"=serving")
	}
	return want
}

// requireWhole waits until all observers see all of each other serving.
func (l *Lab) requireWhole(t *testing.T, observers []string) {
	t.Helper()
	l.requireViews(t, observers, append(serving(observers...), "position=whole")...)
}

// generateLoad has front ends send requests at a rate (per second) and watches the views, until the returned function is
// called, which may be called again.
func (l *Lab) generateLoad(frontEnds int, rate float64, policies ...clients.Policy) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	workload := clients.Workload{
		FrontEnds:         frontEnds,
		RequestsPerSecond: rate,
		Classes:           l.options.Classes,
		Policies:          policies,
		KeyCount:          50,
		Seed:              1,
		ReadRequest:       l.ReadRequest,
		AttemptCompleted:  l.CompleteAttempt,
	}
	var running sync.WaitGroup
	running.Go(func() { clients.Run(ctx, workload, l.Servers(time.Second), l.Log) })
	running.Go(func() { l.WatchViews(ctx, 200*time.Millisecond) })
	return func() {
		cancel()
		running.Wait()
	}
}

// requireNoViolations checks the history against all rules.
func (l *Lab) requireNoViolations(t *testing.T) {
	t.Helper()
	rules := history.Rules{Slack: answerSlack, IdempotencyWindow: IdempotencyWindow}
	require.Empty(t, history.Check(l.Log.Events(), rules))
}

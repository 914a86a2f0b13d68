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
	// waitTimeout bounds each wait for a condition. It is long so that a busy machine does not make a test fail; a
	// passing test does not wait longer than the condition takes.
	waitTimeout = 90 * time.Second
	// answerSlack is how late an answer may be because the machine is busy.
	answerSlack = 200 * time.Millisecond
	// logTail is the number of log lines of each process that a failed test prints.
	logTail = 40
)

// buildPrograms builds the shipped programs with the race detector and returns the path of falldeal.
func buildPrograms(tb testing.TB) (binary string) {
	tb.Helper()
	dir := tb.TempDir()
	cmd := exec.CommandContext(tb.Context(), "go", "build", "-race", "-o", dir, "../../cmd/falldeal", "../../cmd/falldeal-fleet")
	output, err := cmd.CombinedOutput()
	require.NoError(tb, err, "%s", output)
	return filepath.Join(dir, "falldeal")
}

// startLab starts a fleet that is closed at the end of the test. The test fails if a process has reported a data
// race. A failed test prints the last log lines of each process.
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

// checkLog fails the test if the member's process reported a data race, and prints the last log lines of a failed
// test.
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

// inject starts a fault now. The returned function ends it.
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

// endInjected sets the duration of an injected fault so that it ends now. The duration is at least 1 ns, because 0 means
// that the fault does not end.
func (l *Lab) endInjected(fault faults.Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, scripted := range l.script {
		if scripted.Start == fault.Start && scripted.Kind == fault.Kind {
			scripted.Duration = max(l.Log.Now()-scripted.Start, 1)
		}
	}
}

// memberNames returns the names of the first n members.
func memberNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("n%d", i))
	}
	return names
}

// without returns a copy of names without name.
func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

// generateLoad sends requests from front ends at a total rate per second, and records changes of the views, until
// stop is called. Stop may be called more than once.
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

// requireNoViolations checks the recorded history against all rules.
func (l *Lab) requireNoViolations(t *testing.T) {
	t.Helper()
	rules := history.Rules{Slack: answerSlack, IdempotencyWindow: IdempotencyWindow}
	require.Empty(t, history.Check(l.Log.Events(), rules))
}

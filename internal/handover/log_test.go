package handover

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"falldeal/internal/logging"
	"falldeal/lab/golden"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// A stale socket and a path at which the process can't listen must be logged with a message each, and neither line may be
// suppressed because of the other.
func TestGoldenLog(t *testing.T) {
	dir := t.TempDir()
	stale, err := listen(filepath.Join(dir, "stale"))
	require.NoError(t, err)
	require.NoError(t, stale.Close())
	lines := runWithoutSuccessor(t, filepath.Join(dir, "stale"))
	lines += runWithoutSuccessor(t, filepath.Join(dir, "missing", "socket"))
	lines = strings.ReplaceAll(lines, dir, "DIR")
	lines = strings.ReplaceAll(lines, "."+strconv.Itoa(os.Getpid()), ".PID")
	golden.RequireText(t, "log", lines)
}

// runWithoutSuccessor runs a process at path until OnPredecessor is called, and returns its log lines.
func runWithoutSuccessor(t *testing.T, path string) string {
	t.Helper()
	var lines bytes.Buffer
	log := logrus.New()
	log.SetOutput(&lines)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, DisableTimestamp: true})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	serving := make(chan struct{}) // never closed: the process does not listen later
	loop := Loop{
		Post:          func(f func()) { f() },
		OnPredecessor: func(*Link) { cancel() },
	}
	require.NoError(t, Run(ctx, path, serving, loop, logging.NewLimiter(log)))
	return lines.String()
}

// Package commandtest runs a command's own test binary as that command.
// Only tests import it.
package commandtest

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// ProgramVariable is the environment variable that, if it is not empty, has a test binary be the command.
const ProgramVariable = "FALLDEAL_TEST_AS_PROGRAM"

// Main is a command's TestMain: it runs the tests, or program where ProgramVariable says so.
func Main(m *testing.M, program func()) {
	if os.Getenv(ProgramVariable) != "" {
		program()
		return
	}
	os.Exit(m.Run())
}

// Run runs the command with args in the folder dir and returns its exit code and what it wrote. Of the variables that
// configure a server it has those of env only.
func Run(t *testing.T, dir string, env []string, input string, args ...string) string {
	t.Helper()
	self, err := os.Executable()
	require.NoError(t, err)
	cmd := exec.CommandContext(t.Context(), self, args...) //nolint:gosec // the test binary itself
	cmd.Dir = dir
	cmd.Env = append(os.Environ(), ProgramVariable+"=1", "TMPDIR="+dir,
		"GW_CONFIG=", "GW_NAME=", "GW_LISTEN=", "GW_CONSOLE=", "GW_INHERITED_FD=")
	cmd.Env = append(cmd.Env, env...)
	cmd.Stdin = strings.NewReader(input)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil {
		var exit *exec.ExitError
		require.ErrorAs(t, err, &exit)
	}
	return fmt.Sprintf("exit code %d\n-- standard output\n%s-- standard error\n%s",
		cmd.ProcessState.ExitCode(), &stdout, &stderr)
}

// Package commandtest runs the test binary of a command as the command itself. Only tests import it.
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

// ProgramVariable is the environment variable that makes a test binary run the command if it is not empty.
const ProgramVariable = "FALLDEAL_TEST_AS_PROGRAM"

// Main is the TestMain of a command. It runs program if ProgramVariable is set, and the tests otherwise.
func Main(m *testing.M, program func()) {
	if os.Getenv(ProgramVariable) != "" {
		program()
		return
	}
	os.Exit(m.Run())
}

// Run runs the command with args in the directory dir, with input as its standard input. It returns the exit code,
// standard output and standard error as one text. Environment variables that configure a server are empty unless env
// sets them.
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

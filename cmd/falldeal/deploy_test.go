package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// deployCommand returns the command under a key of deploy/balancer.toml.
func deployCommand(t *testing.T, key string) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	found := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(text)
	require.NotNil(t, found, key)
	return string(found[1])
}

// The test bench that runs the programs of deploy/balancer.toml intercepts their calls of the C library for sockets and
// clocks. It cannot intercept a statically linked program, which Go builds if nothing needs C. The bench also refuses
// to start further processes, so `run` must exec the program.
func TestDeployedProgramIsLinkedDynamically(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "bin")
	build := exec.CommandContext(t.Context(), "/bin/sh", "-c", strings.ReplaceAll(deployCommand(t, "build"), "bin", bin))
	build.Dir = "../.."
	out, err := build.CombinedOutput()
	require.NoError(t, err, "%s", out)
	for _, program := range []string{"falldeal", "simhost"} {
		file, err := elf.Open(filepath.Join(bin, program))
		require.NoError(t, err)
		libraries, err := file.ImportedLibraries()
		require.NoError(t, err)
		require.NoError(t, file.Close())
		require.Contains(t, strings.Join(libraries, " "), "libc.so", program)
	}
	require.Regexp(t, `^exec bin/falldeal [^;&|]*$`, deployCommand(t, "run"))
}

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// Programs in the directory of this one. Their code is not linked into falldeal, because that would slow down the
// start of a server without a fleet.
const (
	fleetProgram = "falldeal-fleet"
	labProgram   = "falldeal-lab"
)

// execProgram replaces this process with another program of the same directory. It returns only on failure.
func execProgram(program string, args []string) error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find path of this program: %w", err)
	}
	path := filepath.Join(filepath.Dir(self), program)
	args = append([]string{path}, args...)
	err = syscall.Exec(path, args, os.Environ()) //nolint:gosec // a program of this directory, with the user's arguments
	return fmt.Errorf("exec %s: %w", path, err)
}

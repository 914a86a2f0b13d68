package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// Programs in the folder of this one. They carry out what would make the start of a server alone slower if it was
// linked into it.
const (
	fleetProgram = "falldeal-fleet"
	labProgram   = "falldeal-lab"
)

// execProgram replaces this process by another program of the same folder. It returns only if that fails.
func execProgram(program string, args []string) error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("path of this program: %w", err)
	}
	path := filepath.Join(filepath.Dir(self), program)
	args = append([]string{path}, args...)
	err = syscall.Exec(path, args, os.Environ()) //nolint:gosec // a program of this folder, with the user's arguments
	return fmt.Errorf("%s: %w", path, err)
}

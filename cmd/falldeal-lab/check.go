package main

import (
	"fmt"
	"io"
	"os"

	"falldeal/lab/history"
)

// check reports on a history that runFleet has written.
func check(path string, out io.Writer) error {
	file, err := os.Open(path) //nolint:gosec // the user names the file
	if err != nil {
		return fmt.Errorf("read history: %w", err)
	}
	defer func() { _ = file.Close() }() // only read
	events, err := history.Read(file)
	if err != nil {
		return fmt.Errorf("read history %s: %w", path, err)
	}
	return report(out, events)
}

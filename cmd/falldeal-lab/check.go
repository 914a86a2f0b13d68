package main

import (
	"fmt"
	"io"
	"os"

	"falldeal/lab/history"
)

// check prints a report on a recorded history and checks it against the rules.
func check(path string, out io.Writer) error {
	file, err := os.Open(path) //nolint:gosec // the user names the file
	if err != nil {
		return fmt.Errorf("read history: %w", err)
	}
	defer func() { _ = file.Close() }() // the file is only read
	events, err := history.Read(file)
	if err != nil {
		return fmt.Errorf("read history %s: %w", path, err)
	}
	return report(out, events)
}

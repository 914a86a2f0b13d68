package main

import (
	"io"
	"os"

	"falldeal/lab/history"
)

// check reports on a history that runFleet has written.
func check(path string, out io.Writer) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // only read
	events, err := history.Read(file)
	if err != nil {
		return err
	}
	return report(out, events)
}

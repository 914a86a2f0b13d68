package history

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
)

// Write writes events to a file, one JSON object per line. It overwrites an existing file.
func Write(path string, events []Event) error {
	file, err := os.Create(path) //nolint:gosec // the caller names the file
	if err != nil {
		return fmt.Errorf("create history file: %w", err)
	}
	return errors.Join(writeEvents(file, events), file.Close())
}

func writeEvents(w io.Writer, events []Event) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for i := range events {
		if err := encoder.Encode(&events[i]); err != nil {
			return fmt.Errorf("encode event %d of %d: %w", i, len(events), err)
		}
	}
	if err := buffered.Flush(); err != nil {
		return fmt.Errorf("write %d events: %w", len(events), err)
	}
	return nil
}

// Read reads events that Write has written. It ignores a truncated event at the end, which a crash of the writer may leave.
func Read(r io.Reader) (events []Event, err error) {
	decoder := json.NewDecoder(bufio.NewReader(r))
	for {
		var event Event
		err := decoder.Decode(&event)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return events, nil
		}
		if err != nil {
			return events, fmt.Errorf("decode event %d: %w", len(events), err)
		}
		events = append(events, event)
	}
}

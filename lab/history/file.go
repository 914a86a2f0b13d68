package history

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
)

// Write writes events to a file, one JSON object a line. It replaces a file that is there.
func Write(path string, events []Event) error {
	file, err := os.Create(path) //nolint:gosec // the caller names the file
	if err != nil {
		return fmt.Errorf("create history: %w", err)
	}
	return errors.Join(writeEvents(file, events), file.Close())
}

func writeEvents(w io.Writer, events []Event) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for i := range events {
		if err := encoder.Encode(&events[i]); err != nil {
			return fmt.Errorf("encode event %d: %w", i, err)
		}
	}
	if err := buffered.Flush(); err != nil {
		return fmt.Errorf("write events: %w", err)
	}
	return nil
}

// Read reads events as Write has written them. An event that is cut off at the end, as by a crash, is left out.
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

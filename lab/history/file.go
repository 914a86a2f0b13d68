package history

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
)

// Write writes events to a file, one JSON object a line. It replaces a file that is there.
func Write(path string, events []Event) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	buffered := bufio.NewWriter(file)
	encoder := json.NewEncoder(buffered)
	for i := range events {
		if err := encoder.Encode(&events[i]); err != nil {
			return err
		}
	}
	return buffered.Flush()
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
			return events, err
		}
		events = append(events, event)
	}
}

// Package standin holds the stand-ins that the cases of the review share: the render farm agent with the cores under it, the
// store, the announce service, front ends, and the platform that starts the program by the commands of the deploy file.
// They do what the users' pages allow them, and record what was sent, answered and run.
package standin

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the record of a case: one line per event, with the time since the start in milliseconds. It is safe for
// concurrent use.
type Record struct {
	mu     sync.Mutex
	file   *os.File
	buffer *bufio.Writer
	start  time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt")) //nolint:gosec // the script names its own folder
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &Record{file: file, buffer: bufio.NewWriter(file), start: time.Now()}, nil
}

// Add records an event. After Close it does nothing.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return
	}
	since := float64(time.Since(r.start).Microseconds()) / 1000
	fmt.Fprintf(r.buffer, "%10.3f %s\n", since, fmt.Sprintf(format, args...))
}

// Say records an event and prints it for the person who runs the script.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return
	}
	if err := r.buffer.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
	if err := r.file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
	r.file = nil
}

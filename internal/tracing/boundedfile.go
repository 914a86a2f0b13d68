package tracing

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
)

const filePerm = 0o640

// boundedFile is a file of a maximum size. A write that does not fit is dropped as a whole, so that no line is cut.
// Write belongs to one goroutine at a time, the exporter's.
type boundedFile struct {
	file      *os.File
	remaining int64 // bytes
	dropped   atomic.Int64
}

// openBounded opens the file at path for appending. What it holds already counts towards maxBytes.
func openBounded(path string, maxBytes int64) (*boundedFile, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, filePerm) //nolint:gosec // operators name the file
	if err != nil {
		return nil, fmt.Errorf("opening the file of spans: %w", err)
	}
	info, err := file.Stat()
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return &boundedFile{file: file, remaining: maxBytes - info.Size()}, nil
}

// Write reports a dropped write as written, as the exporter has no use for the error.
func (f *boundedFile) Write(b []byte) (int, error) {
	if int64(len(b)) > f.remaining {
		f.dropped.Add(1)
		return len(b), nil
	}
	f.remaining -= int64(len(b))
	written, err := f.file.Write(b)
	if err != nil {
		return written, fmt.Errorf("writing spans: %w", err)
	}
	return written, nil
}

// Close closes the file.
func (f *boundedFile) Close() error {
	if err := f.file.Close(); err != nil {
		return fmt.Errorf("closing the file of spans: %w", err)
	}
	return nil
}

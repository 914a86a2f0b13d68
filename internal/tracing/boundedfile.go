package tracing

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
)

const filePerm = 0o640

// boundedFile is a file of limited size. A write that does not fit is dropped as a whole, so that the file does not end in
// a truncated line. Only one goroutine at a time, the exporter's, may call Write.
type boundedFile struct {
	file      *os.File
	remaining int64        // bytes that may still be written; negative if the file was too large when it was opened
	dropped   atomic.Int64 // writes that did not fit
}

// openBounded opens the file at path for appending. Its current size counts towards maxBytes.
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

// Write implements io.Writer. It reports a dropped write as successful: the exporter could do nothing about an error.
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

// Close implements io.Closer.
func (f *boundedFile) Close() error {
	if err := f.file.Close(); err != nil {
		return fmt.Errorf("closing the file of spans: %w", err)
	}
	return nil
}

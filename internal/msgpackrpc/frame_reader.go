package msgpackrpc

import "io"

const (
	minBufferSize     = 1 << 10          // bytes allocated for the first read
	maxIdleBufferSize = 4 << 10          // bytes kept between messages; enough for a typical request
	maxBufferSize     = maxFrame + 2<<10 // bytes; one frame and some input read ahead
)

// frameReader splits a stream into frames. It belongs to the goroutine that reads the stream.
type frameReader struct {
	source io.Reader
	// onPartial, if set, is called with true before a read that waits for the rest of a frame, and with false once that
	// frame is complete, so that the caller can limit the wait.
	onPartial func(bool) error

	buffer     []byte
	start, end int  // buffer[start:end] is read but not returned yet
	partial    bool // last argument of onPartial, unless the owner has set another value since
}

// next returns the next complete frame, which is valid until the next call. After an error the stream cannot be read any
// further, unless the error is a temporary one of the source.
func (f *frameReader) next() ([]byte, error) {
	f.releaseBuffer()
	var scanner scanner
	for {
		size, err := scanner.scan(f.buffer[f.start:f.end])
		if err != nil {
			return nil, err
		}
		if size > 0 {
			frame := f.buffer[f.start : f.start+size]
			f.start += size
			return frame, f.setPartial(false)
		}
		if f.end > f.start {
			if err := f.setPartial(true); err != nil {
				return nil, err
			}
		}
		if err := f.fill(); err != nil {
			return nil, err
		}
	}
}

// releaseBuffer frees a large empty buffer, so that hundreds of idle connections use little memory.
func (f *frameReader) releaseBuffer() {
	if len(f.buffer) > maxIdleBufferSize && f.start == f.end {
		f.buffer = nil
		f.start = 0
		f.end = 0
	}
}

// setPartial calls onPartial if partial has changed.
func (f *frameReader) setPartial(partial bool) error {
	if f.onPartial == nil || partial == f.partial {
		return nil
	}
	f.partial = partial
	return f.onPartial(partial)
}

// fill reads at least one more byte into the buffer.
func (f *frameReader) fill() error {
	f.growBuffer()
	n, err := f.source.Read(f.buffer[f.end:])
	f.end += n
	if n > 0 {
		return nil
	}
	return err //nolint:wrapcheck // the error of the source; io.EOF is the normal end of a connection
}

// growBuffer makes room for at least one byte at the end of the buffer. maxBufferSize is enough because scan rejects a
// frame longer than maxFrame.
func (f *frameReader) growBuffer() {
	if f.start > 0 {
		f.end = copy(f.buffer, f.buffer[f.start:f.end])
		f.start = 0
	}
	if f.end == len(f.buffer) {
		larger := make([]byte, min(max(2*len(f.buffer), minBufferSize), maxBufferSize))
		copy(larger, f.buffer)
		f.buffer = larger
	}
}

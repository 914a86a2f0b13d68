package msgpackrpc

import "io"

const (
	minBufferSize     = 1 << 10          // of a connection, to begin with
	maxIdleBufferSize = 4 << 10          // between messages; holds the usual requests
	maxBufferSize     = maxFrame + 2<<10 // a whole frame, and some bytes read ahead
)

// frameReader cuts a stream into frames. It belongs to the goroutine that reads the stream.
type frameReader struct {
	source io.Reader
	// onPartial, where set, is called with true before a read for the rest of a frame, and with false once that frame
	// is complete, so that the wait can be bounded.
	onPartial func(bool) error

	buffer     []byte
	start, end int  // buffer[start:end] was read and is not handed out yet
	partial    bool // the last argument of onPartial
}

// next returns the next whole frame, which is valid until the following call. After an error the stream can't be read
// on, unless the error is the source's and temporary.
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

// releaseBuffer frees a large buffer that holds nothing: hundreds of idle connections share little memory.
func (f *frameReader) releaseBuffer() {
	if len(f.buffer) > maxIdleBufferSize && f.start == f.end {
		f.buffer = nil
		f.start = 0
		f.end = 0
	}
}

// setPartial calls onPartial where partial has changed.
func (f *frameReader) setPartial(partial bool) error {
	if f.onPartial == nil || partial == f.partial {
		return nil
	}
	f.partial = partial
	return f.onPartial(partial)
}

// fill reads some more bytes, after making room for them.
func (f *frameReader) fill() error {
	f.growBuffer()
	n, err := f.source.Read(f.buffer[f.end:])
	f.end += n
	if n > 0 {
		return nil
	}
	return err //nolint:wrapcheck // the source's own: io.EOF ends a connection in normal service
}

// growBuffer makes room for a byte at least at the end of the buffer: a frame ends within maxFrame, or scan has rejected it.
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

package msgpackrpc

import "io"

// Bounds of a frame, checked on its bytes as they arrive, before memory is taken for what they claim.
const (
	maxBody   = 2 << 10             // bytes of a request's body; the protocol's
	maxFrame  = maxBody + (6 << 10) // bytes of body, fields and framing
	maxDepth  = 6                   // of nested arrays and maps
	maxValues = 128                 // values in a frame

	minBufferSize     = 1 << 10          // of a connection, to begin with
	maxIdleBufferSize = 4 << 10          // between messages; holds the protocol's usual requests
	maxBufferSize     = maxFrame + 2<<10 // a whole frame, and some bytes read ahead
)

// scanner finds the end of a frame while its bytes arrive. The zero scanner is at the start of a frame.
type scanner struct {
	pos       int // bytes passed: whole headers and payloads only
	values    int // values passed
	depth     int
	remaining [maxDepth + 1]int // values that are still to come, by depth; 0 is the frame itself
}

// scan goes on over b, which holds the frame from its start, and returns the length of the frame, or 0 where b ends
// before it.
func (s *scanner) scan(b []byte) (int, error) {
	if s.pos == 0 {
		s.remaining[0] = 1
	}
	for {
		header, ok, err := parseHeader(b[s.pos:])
		if err != nil || !ok {
			return 0, err
		}
		end := s.pos + header.size + header.payloadSize()
		if err := s.checkBounds(end, header.elements()); err != nil {
			return 0, err
		}
		if end > len(b) {
			return 0, nil
		}
		s.pos = end
		if s.passValue(header.elements()) {
			return s.pos, nil
		}
	}
}

// checkBounds checks a value that ends at end, but for that many elements. Each element takes a byte at least, so a
// count that can't fit is rejected before any element has arrived.
func (s *scanner) checkBounds(end, elements int) error {
	switch {
	case end+elements > maxFrame:
		return &FrameError{errFrameTooLong}
	case s.values+1+elements > maxValues:
		return &FrameError{errTooManyValues}
	case elements > 0 && s.depth == maxDepth:
		return &FrameError{errFrameTooDeep}
	}
	return nil
}

// passValue counts a value that is followed by that many elements, and reports whether the frame is complete.
func (s *scanner) passValue(elements int) bool {
	s.values++
	s.remaining[s.depth]--
	if elements > 0 {
		s.depth++
		s.remaining[s.depth] = elements
	}
	for s.remaining[s.depth] == 0 {
		if s.depth == 0 {
			return true
		}
		s.depth--
	}
	return false
}

// frameReader cuts a stream into frames. It belongs to the goroutine that reads the stream.
type frameReader struct {
	source io.Reader
	// onPartial, where set, is called with true before a read for the rest of a frame, and with false once that frame
	// is complete, so that the wait can be bounded.
	onPartial func(bool) error

	buf     []byte // buf[r:w] was read and is not handed out yet
	r, w    int
	partial bool // the last argument of onPartial
}

// next returns the next whole frame, which is valid until the following call. After an error the stream can't be read
// on, unless the error is the source's and temporary.
func (f *frameReader) next() ([]byte, error) {
	if len(f.buf) > maxIdleBufferSize && f.r == f.w {
		f.buf, f.r, f.w = nil, 0, 0 // hundreds of idle connections share little memory
	}
	var s scanner
	for {
		size, err := s.scan(f.buf[f.r:f.w])
		if err != nil {
			return nil, err
		}
		if size > 0 {
			frame := f.buf[f.r : f.r+size]
			f.r += size
			return frame, f.setPartial(false)
		}
		if f.w > f.r {
			if err := f.setPartial(true); err != nil {
				return nil, err
			}
		}
		if err := f.fill(); err != nil {
			return nil, err
		}
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
	if f.r > 0 {
		f.w = copy(f.buf, f.buf[f.r:f.w])
		f.r = 0
	}
	if f.w == len(f.buf) {
		// A frame ends within maxFrame, or scan has rejected it: there is always room for a byte.
		buf := make([]byte, min(max(2*len(f.buf), minBufferSize), maxBufferSize))
		copy(buf, f.buf)
		f.buf = buf
	}
	n, err := f.source.Read(f.buf[f.w:])
	f.w += n
	if n > 0 {
		return nil
	}
	return err
}

package msgpackrpc

// Limits of a frame. They are checked while its bytes arrive, before memory is allocated for the lengths in its headers.
const (
	maxBody   = 2 << 10             // bytes of a request body
	maxFrame  = maxBody + (6 << 10) // bytes; 6 KiB are for the fields and the framing
	maxDepth  = 6                   // levels of nested arrays and maps
	maxValues = 128                 // values in a frame, including nested ones
)

// scanner finds the end of a frame while its bytes arrive. The zero value is at the start of a frame.
type scanner struct {
	pos       int               // bytes scanned; always the end of a header and its payload
	values    int               // values scanned
	depth     int               // of the current array or map; 0 is the frame itself
	remaining [maxDepth + 1]int // values still expected at each depth
}

// scan continues over b, which holds the frame from its first byte. It returns the length of the frame, or 0 if b ends
// before the frame does.
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
		if s.countValue(header.elements()) {
			return s.pos, nil
		}
	}
}

// checkBounds checks the limits for a value whose header and payload end at end and that has that many elements. An
// element takes at least one byte, so a count that cannot fit is rejected before any element arrives.
func (s *scanner) checkBounds(end, elements int) error {
	switch {
	case end+elements > maxFrame:
		return &frameError{errFrameTooLong}
	case s.values+1+elements > maxValues:
		return &frameError{errTooManyValues}
	case elements > 0 && s.depth == maxDepth:
		return &frameError{errFrameTooDeep}
	}
	return nil
}

// countValue counts a value that is followed by that many elements and reports whether the frame is complete.
func (s *scanner) countValue(elements int) bool {
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

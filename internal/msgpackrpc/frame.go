package msgpackrpc

// Bounds of a frame, checked on its bytes as they arrive, before memory is taken for what they claim.
const (
	maxBody   = 2 << 10             // bytes of a request's body
	maxFrame  = maxBody + (6 << 10) // bytes of body, fields and framing
	maxDepth  = 6                   // of nested arrays and maps
	maxValues = 128                 // values in a frame
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
		return &frameError{errFrameTooLong}
	case s.values+1+elements > maxValues:
		return &frameError{errTooManyValues}
	case elements > 0 && s.depth == maxDepth:
		return &frameError{errFrameTooDeep}
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

package msgpackrpc

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Bounds of a frame. They are checked on its bytes as they come, before memory is taken for what they claim.
const (
	maxBody  = 2 << 10             // of a request; protocol
	maxFrame = maxBody + (6 << 10) // body, fields and what frames them
	maxDepth = 6                   // of nested arrays and maps
	maxItems = 128                 // values in a frame

	bufferLeast = 1 << 10          // of a connection, to begin with
	bufferKept  = 4 << 10          // between messages; requests of the protocol fit
	bufferMost  = maxFrame + 2<<10 // a whole frame, and room to read ahead
)

var (
	errTooLong = errors.New("frame too long")
	errTooDeep = errors.New("frame nested too deep")
	errTooFull = errors.New("frame of too many values")
	errNoValue = errors.New("starts no value")
)

type valueKind uint8

const (
	nilValue valueKind = iota
	boolValue
	intValue   // of 64 bits with a sign
	largeValue // a whole number past that
	floatValue
	textValue
	binValue
	arrayOf // of that many values
	mapOf   // of that many pairs
	extValueKind
)

// head is the first part of a value: what it is, and how long.
type head struct {
	kind valueKind
	size int   // bytes of the head
	n    int   // bytes that follow it, or the values or pairs of an array or map
	v    int64 // intValue; boolValue: 1 for true
}

// values is how many values belong to an array or map directly.
func (h head) values() int {
	switch h.kind {
	case arrayOf:
		return h.n
	case mapOf:
		return 2 * h.n
	}
	return 0
}

// payload is how many bytes follow the head that are no values of their own.
func (h head) payload() int {
	if h.kind == arrayOf || h.kind == mapOf {
		return 0
	}
	return h.n
}

// number reads a big-endian number of 1, 2, 4 or 8 bytes.
func number(b []byte, size int) uint64 {
	switch size {
	case 1:
		return uint64(b[0])
	case 2:
		return uint64(binary.BigEndian.Uint16(b))
	case 4:
		return uint64(binary.BigEndian.Uint32(b))
	}
	return binary.BigEndian.Uint64(b)
}

// headOf reads the head of a value; ok is false while b does not hold all of it.
func headOf(b []byte) (h head, ok bool, err error) {
	if len(b) == 0 {
		return h, false, nil
	}
	h.size = 1
	switch tag := b[0]; {
	case tag <= 0x7f:
		h.kind, h.v = intValue, int64(tag)
	case tag <= 0x8f:
		h.kind, h.n = mapOf, int(tag&0x0f)
	case tag <= 0x9f:
		h.kind, h.n = arrayOf, int(tag&0x0f)
	case tag <= 0xbf:
		h.kind, h.n = textValue, int(tag&0x1f)
	case tag >= 0xe0:
		h.kind, h.v = intValue, int64(int8(tag))
	case tag == 0xc0:
		h.kind = nilValue
	case tag == 0xc2, tag == 0xc3:
		h.kind, h.v = boolValue, int64(tag-0xc2)
	case tag >= 0xca && tag <= 0xd3:
		return numberHead(b)
	case tag >= 0xd4 && tag <= 0xd8:
		h.kind, h.n = extValueKind, 1+1<<(tag-0xd4)
	default:
		return sizedHead(b)
	}
	return h, true, nil
}

// numberHead reads a number whose tag does not hold it.
func numberHead(b []byte) (h head, ok bool, err error) {
	tag := b[0]
	size := 1 << ((tag - 0xcc) & 3) // of whole numbers: four without a sign, four with one
	if tag < 0xcc {
		size = 4 << (tag - 0xca)
	}
	if h.size = 1 + size; len(b) < h.size {
		return h, false, nil
	}
	v := number(b[1:], size)
	switch {
	case tag < 0xcc:
		h.kind = floatValue
	case tag >= 0xd0:
		shift := 64 - 8*size
		h.kind, h.v = intValue, int64(v<<shift)>>shift
	case v > math.MaxInt64:
		h.kind = largeValue
	default:
		h.kind, h.v = intValue, int64(v)
	}
	return h, true, nil
}

// sizes are the values whose length follows the tag: the first of their tags, and the bytes of its length,
// which double from tag to tag.
var sizes = [...]struct {
	first, last byte
	bytes       int
	kind        valueKind
}{
	{0xc4, 0xc6, 1, binValue}, {0xc7, 0xc9, 1, extValueKind}, {0xd9, 0xdb, 1, textValue},
	{0xdc, 0xdd, 2, arrayOf}, {0xde, 0xdf, 2, mapOf},
}

func sizedHead(b []byte) (h head, ok bool, err error) {
	for _, s := range sizes {
		if b[0] < s.first || b[0] > s.last {
			continue
		}
		size := s.bytes << (b[0] - s.first)
		if h.kind, h.size = s.kind, 1+size; len(b) < h.size {
			return h, false, nil
		}
		n := number(b[1:], size)
		if n > maxFrame {
			return h, false, errTooLong
		}
		if h.n = int(n); s.kind == extValueKind {
			h.n++ // its type
		}
		return h, true, nil
	}
	return h, false, fmt.Errorf("byte %#x %w", b[0], errNoValue)
}

// scanner finds the end of a frame as its bytes come. The zero scanner is at the start of one.
type scanner struct {
	pos   int // bytes passed: whole heads and payloads only
	items int // values seen
	depth int
	left  [maxDepth + 1]int // values that are still to come, by depth; 0 is the frame itself
}

// scan goes on over b, which holds the frame from its start, and returns its length, or 0 where b ends first.
func (s *scanner) scan(b []byte) (int, error) {
	if s.pos == 0 {
		s.left[0] = 1
	}
	for {
		h, ok, err := headOf(b[s.pos:])
		if err != nil || !ok {
			return 0, err
		}
		end := s.pos + h.size + h.payload()
		// Each value takes a byte at least, so a count that can't fit is refused before any of it came.
		if end+h.values() > maxFrame {
			return 0, errTooLong
		}
		if s.items+1+h.values() > maxItems {
			return 0, errTooFull
		}
		if h.values() > 0 && s.depth == maxDepth {
			return 0, errTooDeep
		}
		if end > len(b) {
			return 0, nil
		}
		s.pos = end
		s.items++
		s.left[s.depth]--
		if n := h.values(); n > 0 {
			s.depth++
			s.left[s.depth] = n
		}
		for s.left[s.depth] == 0 {
			if s.depth == 0 {
				return s.pos, nil
			}
			s.depth--
		}
	}
}

// frames cuts a stream into frames. It belongs to the goroutine that reads the stream.
type frames struct {
	from io.Reader
	// begun is told whether the rest of a frame is waited for, before that and after it; it bounds the wait.
	begun func(bool) error

	buf  []byte // buf[r:w] was read and is not handed out yet
	r, w int
	late bool // begun was told true last
}

// next returns the next whole frame, which is good until the call after it. After an error the stream can't be
// read on.
func (f *frames) next() ([]byte, error) {
	if len(f.buf) > bufferKept && f.r == f.w {
		f.buf, f.r, f.w = nil, 0, 0 // hundreds of idle connections share a small memory
	}
	var s scanner
	for {
		n, err := s.scan(f.buf[f.r:f.w])
		if err != nil {
			return nil, err
		}
		if n > 0 {
			frame := f.buf[f.r : f.r+n]
			f.r += n
			return frame, f.tell(false)
		}
		if f.w > f.r {
			if err := f.tell(true); err != nil {
				return nil, err
			}
		}
		if err := f.read(); err != nil {
			return nil, err
		}
	}
}

func (f *frames) tell(late bool) error {
	if f.begun == nil || late == f.late {
		return nil
	}
	f.late = late
	return f.begun(late)
}

// read reads some bytes more, after making room for them.
func (f *frames) read() error {
	if f.r > 0 {
		f.w = copy(f.buf, f.buf[f.r:f.w])
		f.r = 0
	}
	if f.w == len(f.buf) {
		// A frame ends within maxFrame, or scan has refused it: there is always a byte to be read.
		buf := make([]byte, min(max(2*len(f.buf), bufferLeast), bufferMost))
		copy(buf, f.buf)
		f.buf = buf
	}
	n, err := f.from.Read(f.buf[f.w:])
	f.w += n
	if n > 0 {
		return nil
	}
	return err
}

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
	maxBody   = 2 << 10             // of a request; protocol
	maxFrame  = maxBody + (6 << 10) // body, fields and what frames them
	maxDepth  = 6                   // of nested arrays and maps
	maxValues = 128                 // values in a frame

	minBufferSize     = 1 << 10          // of a connection, to begin with
	maxIdleBufferSize = 4 << 10          // between messages; requests of the protocol fit
	maxBufferSize     = maxFrame + 2<<10 // a whole frame, and room to read ahead
)

var (
	errFrameTooLong  = errors.New("frame too long")
	errFrameTooDeep  = errors.New("frame nested too deep")
	errTooManyValues = errors.New("frame of too many values")
	errInvalidTag    = errors.New("starts no value")
)

type valueKind uint8

const (
	valueNil valueKind = iota
	valueBool
	valueInt       // of 64 bits with a sign
	valueLargeUint // a whole number past that
	valueFloat
	valueString
	valueBinary
	valueArray // of that many values
	valueMap   // of that many pairs
	valueExtension
)

// valueHeader is the first part of a value: what it is, and how long.
type valueHeader struct {
	kind   valueKind
	size   int   // bytes of the head
	length int   // bytes that follow it, or the values or pairs of an array or map
	value  int64 // valueInt; valueBool: 1 for true
}

// elements is how many values belong to an array or map directly.
func (h valueHeader) elements() int {
	switch h.kind {
	case valueArray:
		return h.length
	case valueMap:
		return 2 * h.length
	}
	return 0
}

// payloadSize is how many bytes follow the head that are no values of their own.
func (h valueHeader) payloadSize() int {
	if h.kind == valueArray || h.kind == valueMap {
		return 0
	}
	return h.length
}

// bigEndianUint reads a big-endian number of 1, 2, 4 or 8 bytes.
func bigEndianUint(b []byte, size int) uint64 {
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

// parseHeader reads the head of a value; ok is false while b does not hold all of it.
func parseHeader(b []byte) (header valueHeader, ok bool, err error) {
	if len(b) == 0 {
		return header, false, nil
	}
	header.size = 1
	switch tag := b[0]; {
	case tag <= 0x7f:
		header.kind, header.value = valueInt, int64(tag)
	case tag <= 0x8f:
		header.kind, header.length = valueMap, int(tag&0x0f)
	case tag <= 0x9f:
		header.kind, header.length = valueArray, int(tag&0x0f)
	case tag <= 0xbf:
		header.kind, header.length = valueString, int(tag&0x1f)
	case tag >= 0xe0:
		header.kind, header.value = valueInt, int64(int8(tag))
	case tag == 0xc0:
		header.kind = valueNil
	case tag == 0xc2, tag == 0xc3:
		header.kind, header.value = valueBool, int64(tag-0xc2)
	case tag >= 0xca && tag <= 0xd3:
		return parseNumberHeader(b)
	case tag >= 0xd4 && tag <= 0xd8:
		header.kind, header.length = valueExtension, 1+1<<(tag-0xd4)
	default:
		return parseSizedHeader(b)
	}
	return header, true, nil
}

// parseNumberHeader reads a number whose tag does not hold it.
func parseNumberHeader(b []byte) (header valueHeader, ok bool, err error) {
	tag := b[0]
	size := 1 << ((tag - 0xcc) & 3) // of whole numbers: four without a sign, four with one
	if tag < 0xcc {
		size = 4 << (tag - 0xca)
	}
	if header.size = 1 + size; len(b) < header.size {
		return header, false, nil
	}
	value := bigEndianUint(b[1:], size)
	switch {
	case tag < 0xcc:
		header.kind = valueFloat
	case tag >= 0xd0:
		shift := 64 - 8*size
		header.kind, header.value = valueInt, int64(value<<shift)>>shift
	case value > math.MaxInt64:
		header.kind = valueLargeUint
	default:
		header.kind, header.value = valueInt, int64(value)
	}
	return header, true, nil
}

// sizedTags are the values whose length follows the tag: the first of their tags, and the bytes of its length,
// which double from tag to tag.
var sizedTags = [...]struct {
	first, last byte
	bytes       int
	kind        valueKind
}{
	{0xc4, 0xc6, 1, valueBinary}, {0xc7, 0xc9, 1, valueExtension}, {0xd9, 0xdb, 1, valueString},
	{0xdc, 0xdd, 2, valueArray}, {0xde, 0xdf, 2, valueMap},
}

func parseSizedHeader(b []byte) (header valueHeader, ok bool, err error) {
	for _, sized := range sizedTags {
		if b[0] < sized.first || b[0] > sized.last {
			continue
		}
		size := sized.bytes << (b[0] - sized.first)
		if header.kind, header.size = sized.kind, 1+size; len(b) < header.size {
			return header, false, nil
		}
		n := bigEndianUint(b[1:], size)
		if n > maxFrame {
			return header, false, errFrameTooLong
		}
		if header.length = int(n); sized.kind == valueExtension {
			header.length++ // its type
		}
		return header, true, nil
	}
	return header, false, fmt.Errorf("byte %#x %w", b[0], errInvalidTag)
}

// scanner finds the end of a frame as its bytes come. The zero scanner is at the start of one.
type scanner struct {
	pos       int // bytes passed: whole heads and payloads only
	values    int // values seen
	depth     int
	remaining [maxDepth + 1]int // values that are still to come, by depth; 0 is the frame itself
}

// scan goes on over b, which holds the frame from its start, and returns its length, or 0 where b ends first.
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
		// Each value takes a byte at least, so a count that can't fit is refused before any of it came.
		if end+header.elements() > maxFrame {
			return 0, errFrameTooLong
		}
		if s.values+1+header.elements() > maxValues {
			return 0, errTooManyValues
		}
		if header.elements() > 0 && s.depth == maxDepth {
			return 0, errFrameTooDeep
		}
		if end > len(b) {
			return 0, nil
		}
		s.pos = end
		s.values++
		s.remaining[s.depth]--
		if n := header.elements(); n > 0 {
			s.depth++
			s.remaining[s.depth] = n
		}
		for s.remaining[s.depth] == 0 {
			if s.depth == 0 {
				return s.pos, nil
			}
			s.depth--
		}
	}
}

// frameReader cuts a stream into frames. It belongs to the goroutine that reads the stream.
type frameReader struct {
	source io.Reader
	// onPartial is told whether the rest of a frame is waited for, before that and after it; it bounds the wait.
	onPartial func(bool) error

	buf     []byte // buf[r:w] was read and is not handed out yet
	r, w    int
	partial bool // begun was told true last
}

// next returns the next whole frame, which is good until the call after it. After an error the stream can't be
// read on.
func (f *frameReader) next() ([]byte, error) {
	if len(f.buf) > maxIdleBufferSize && f.r == f.w {
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

func (f *frameReader) setPartial(late bool) error {
	if f.onPartial == nil || late == f.partial {
		return nil
	}
	f.partial = late
	return f.onPartial(late)
}

// fill reads some bytes more, after making room for them.
func (f *frameReader) fill() error {
	if f.r > 0 {
		f.w = copy(f.buf, f.buf[f.r:f.w])
		f.r = 0
	}
	if f.w == len(f.buf) {
		// A frame ends within maxFrame, or scan has refused it: there is always a byte to be read.
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

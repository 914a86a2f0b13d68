package msgpackrpc

import "math"

// cursor reads the values of a complete frame one after the other.
type cursor struct{ rest []byte }

// header reads the header of the next value and advances past it.
func (c *cursor) header() valueHeader {
	header, ok, err := parseHeader(c.rest)
	if err != nil || !ok {
		c.rest = nil // cannot happen in a complete frame
		return valueHeader{kind: valueNil}
	}
	c.rest = c.rest[header.size:]
	return header
}

// payload returns the payload of the value with this header and advances past it.
func (c *cursor) payload(header valueHeader) []byte {
	size := min(header.payloadSize(), len(c.rest))
	payload := c.rest[:size:size]
	c.rest = c.rest[size:]
	return payload
}

// skip advances past the payload and the elements of the value with this header.
func (c *cursor) skip(header valueHeader) {
	c.payload(header)
	for range header.elements() {
		c.skip(c.header())
	}
}

// bytes reads the next value and returns its payload. It returns false and skips the value if it is of another kind.
func (c *cursor) bytes(kind valueKind) ([]byte, bool) {
	header := c.header()
	if header.kind != kind {
		c.skip(header)
		return nil, false
	}
	return c.payload(header), true
}

// uint32 reads the header of the next value and returns its integer. It returns false if the value is not an unsigned
// 32-bit integer.
func (c *cursor) uint32() (uint32, bool) {
	header := c.header()
	ok := header.kind == valueInt && header.value >= 0 && header.value <= math.MaxUint32
	return uint32(header.value), ok
}

package msgpackrpc

import "math"

// cursor reads the values of a frame that is known to be whole, one after the other.
type cursor struct{ rest []byte }

// header reads the header of the next value. The rest of the value follows.
func (c *cursor) header() valueHeader {
	header, ok, err := parseHeader(c.rest)
	if err != nil || !ok {
		c.rest = nil // does not occur in a whole frame
		return valueHeader{kind: valueNil}
	}
	c.rest = c.rest[header.size:]
	return header
}

// payload returns the payload of the value with that header, and passes over it.
func (c *cursor) payload(header valueHeader) []byte {
	size := min(header.payloadSize(), len(c.rest))
	payload := c.rest[:size:size]
	c.rest = c.rest[size:]
	return payload
}

// skip passes over the rest of the value with that header.
func (c *cursor) skip(header valueHeader) {
	c.payload(header)
	for range header.elements() {
		c.skip(c.header())
	}
}

// bytes reads the next value, and reports whether it is of that kind.
func (c *cursor) bytes(kind valueKind) ([]byte, bool) {
	header := c.header()
	if header.kind != kind {
		c.skip(header)
		return nil, false
	}
	return c.payload(header), true
}

// uint32 reads the header of the next value, and reports whether it is an integer of that range.
func (c *cursor) uint32() (uint32, bool) {
	header := c.header()
	ok := header.kind == valueInt && header.value >= 0 && header.value <= math.MaxUint32
	return uint32(header.value), ok
}

package faults

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

const (
	streamBufferBytes = 16 << 10
	// streamInterval is the time between two chunks of a throttled stream, and between two checks of the rules in a
	// partitioned one.
	streamInterval = 20 * time.Millisecond
)

// streamCopy relays one direction of a stream.
type streamCopy struct {
	relay            *Relay
	from, to         *net.TCPConn
	sender, receiver string // names of the processes
	reset            func() // makes the inbound connection send a RST when it is closed
}

// run copies data until the sender closes its direction, the stream breaks, or a rule resets it.
func (s *streamCopy) run() {
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := s.from.Read(buffer)
		if !s.forward(buffer[:n]) {
			return
		}
		if err != nil {
			s.finish(err)
			return
		}
	}
}

// forward writes a chunk to the receiver. It applies the rules in force, which may change while it delays the chunk
// or waits for the end of a partition. It returns false if the stream has ended.
func (s *streamCopy) forward(chunk []byte) bool {
	for first := true; len(chunk) > 0; first = false {
		rule := s.relay.ruleFor(s.sender, s.receiver)
		if rule.Reset {
			s.reset()
			closeQuietly(s.to)
			closeQuietly(s.from)
			return false
		}
		if first && rule.Delay > 0 {
			time.Sleep(rule.Delay)
		}
		part := len(chunk)
		if rule.Partition || rule.BytesPerSecond > 0 {
			time.Sleep(streamInterval)
			part = min(part, int(float64(rule.BytesPerSecond)*streamInterval.Seconds())+1)
		}
		if s.relay.closed.Load() {
			return false
		}
		if rule.Partition {
			continue
		}
		if _, err := s.to.Write(chunk[:part]); err != nil {
			closeQuietly(s.from)
			return false
		}
		chunk = chunk[part:]
	}
	return true
}

// finish passes the end of the stream on to the receiver: a half-close, a reset, or a close for any other error.
func (s *streamCopy) finish(readErr error) {
	if errors.Is(readErr, io.EOF) {
		_ = s.to.CloseWrite() // an error means that the receiver has closed the stream too
		return
	}
	if errors.Is(readErr, syscall.ECONNRESET) {
		_ = s.to.SetLinger(0)
	}
	closeQuietly(s.to)
}

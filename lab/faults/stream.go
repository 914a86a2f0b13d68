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
	// streamInterval is how often a throttled stream carries a chunk, and a partitioned one looks whether it may go on.
	streamInterval = 20 * time.Millisecond
)

// streamCopy relays one direction of a stream.
type streamCopy struct {
	relay            *Relay
	from, to         *net.TCPConn
	sender, receiver string // names of the processes
	reset            func() // has the closing of the stream reset it
}

// run copies until the sender has closed its direction, the stream breaks or a rule resets it.
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

// forward writes a chunk by the rules in force, which may change meanwhile; in a partition it waits. It returns false
// if the stream is over.
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

// finish passes the end of the stream on, as what it was: closed, reset or broken.
func (s *streamCopy) finish(readErr error) {
	if errors.Is(readErr, io.EOF) {
		_ = s.to.CloseWrite() // an error means that the other end is gone as well
		return
	}
	if errors.Is(readErr, syscall.ECONNRESET) {
		_ = s.to.SetLinger(0)
	}
	closeQuietly(s.to)
}

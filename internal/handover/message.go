package handover

import "time"

// Message is what one of the two processes sends the other. The types of this file are all there are. Idempotency keys
// consist of hex digits.
type Message interface {
	// line returns the message in the fields of the protocol.
	line() line
}

// KeyKnown announces that an attempt with the key is in flight in the sender, or was run there.
type KeyKnown struct {
	IdempotencyKey string
	Digest         uint64        // of the body that all attempts with the key carry
	WindowEnd      time.Duration // when the key may run again, on the Unix clock
}

// RunCompleted announces that the run with the key has ended, as far as the sender knows.
type RunCompleted struct {
	IdempotencyKey string
	OK             bool // the run succeeded
	Result         []byte
}

// KeyReleased announces that nothing was run with the key, and nothing will be.
type KeyReleased struct {
	IdempotencyKey string
}

// KeyClaim asks the predecessor whether an attempt with the key may run. The answer is KeyGranted, or KeyKnown with
// what follows it.
type KeyClaim struct {
	IdempotencyKey string
	Digest         uint64        // of the body that the attempt carries
	ArrivedAt      time.Duration // of the attempt, on the Unix clock
}

// KeyGranted tells the successor that the attempt may run: the predecessor does not know the key, and leaves it alone.
type KeyGranted struct {
	IdempotencyKey string
}

// KeysSynced tells the successor that all keys known so far have been sent.
type KeysSynced struct{}

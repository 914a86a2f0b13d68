package handover

import "time"

// Message is a message between the predecessor and the successor. The types in this file are the only ones. Idempotency
// keys consist of hex digits.
type Message interface {
	// line returns the message in the fields of the protocol.
	line() line
}

// KeyKnown announces that an attempt with the key is in flight in the sender, or was run there.
type KeyKnown struct {
	IdempotencyKey string
	Digest         uint64        // of the request body, which all attempts with the key share
	WindowEnd      time.Duration // end of the idempotency window, after which the key may run again; Unix time
}

// RunCompleted announces how the run with the key has ended, as far as the sender knows.
type RunCompleted struct {
	IdempotencyKey string
	OK             bool // the run succeeded, and Result is its result
	Result         []byte
}

// KeyReleased announces that the sender has run no attempt with the key, and gives the key up. Before it runs a later
// attempt, it announces (predecessor) or claims (successor) the key again.
type KeyReleased struct {
	IdempotencyKey string
}

// KeyClaim asks the predecessor whether the successor may run an attempt with the key. The answer is KeyGranted, or
// KeyKnown, followed by RunCompleted or KeyReleased as soon as the outcome is known.
type KeyClaim struct {
	IdempotencyKey string
	Digest         uint64        // of the body of the attempt
	ArrivedAt      time.Duration // arrival of the attempt; Unix time
	// AwaitsExit is set if the sender runs no key that it has not claimed until the predecessor has exited or sent RunsEnded,
	// even if their link ends. Older versions take the end of the link for the exit, and do not set it.
	AwaitsExit bool
}

// KeyGranted tells the successor that it may run the attempt. The predecessor does not know the key, or the key's window has
// ended there. The predecessor runs no attempt with it until the new window ends or the successor releases the key.
type KeyGranted struct {
	IdempotencyKey string
}

// KeysSynced tells the successor that the predecessor has sent all keys that it knew when the successor connected.
type KeysSynced struct{}

// RunsEnded announces to the successor that the predecessor runs nothing more, and has sent all keys that it knows. It is the last
// message on a link. Versions that do not know it read it as KeysSynced, which changes nothing for them.
type RunsEnded struct{}

package server

import (
	"time"

	"falldeal/internal/handover"
)

const (
	// keyBatchBytes is about the size of the messages that are encoded at a time.
	keyBatchBytes = 32 << 10
	// outboxInterval is the pause while too many messages wait to be written.
	outboxInterval = 2 * time.Millisecond
	// maxUnwrittenSync is the number of unwritten messages to the successor at which no further keys that were known when it
	// joined are encoded.
	maxUnwrittenSync = 2
	// maxUnwrittenResults is the number of unwritten messages to another process above which no results are sent to it.
	maxUnwrittenResults = 64
	// maxUnwrittenChanges is the number of unwritten messages to another process at which changes of keys wait.
	maxUnwrittenChanges = 256
	// keyMessageBytes is about the size of the messages on a key without its result.
	keyMessageBytes = 200
)

// announcedState is the state of a key of this process that was announced to another one last.
type announcedState uint8

const (
	announcedNothing announcedState = iota // nothing, or that its run has ended, after which nothing follows
	announcedKnown                         // the key is in use here, and the other process waits for its outcome
	announcedRunning                       // the key was run, with the window of that run
)

func (t announcedState) String() string { return [...]string{"nothing", "known", "running"}[t] }

// keyOutbox announces the keys of this process to another one, from their current state: a key that changes several times
// before there is room for a message is announced once. So what waits for a process that reads slowly is bounded by the number of keys,
// and not by the number of requests.
//
// Only keys that were run are announced. The other process claims any other key before it runs it, and gets the state of that key as
// the answer. A request that is rejected thus causes a message only if the other process has asked for its key.
type keyOutbox struct {
	link      *handover.Link
	successor bool                      // link leads to a successor, to which all keys must be announced first
	started   bool                      // the first keys may be sent
	unsent    map[string]struct{}       // keys that were known when the successor joined, and are still to be sent
	synced    bool                      // all of those were sent
	changed   map[string]struct{}       // keys with changes that wait for room
	announced map[string]announcedState // without announcedNothing
	retry     bool                      // a deadline continues to send
}

func newKeyOutbox(link *handover.Link, successor bool) *keyOutbox {
	return &keyOutbox{
		link:      link,
		successor: successor,
		started:   !successor,
		synced:    !successor,
		changed:   map[string]struct{}{},
		announced: map[string]announcedState{},
	}
}

// covers reports whether the successor will be sent the state of a key, so that changes until then need no message.
func (o *keyOutbox) covers(key string) bool {
	_, unsent := o.unsent[key]
	return unsent || !o.started
}

// maySendResult reports whether results may be sent.
func (o *keyOutbox) maySendResult() bool { return o.link.Unwritten() <= maxUnwrittenResults }

// answer sends the state of a key that the other process has claimed.
func (o *keyOutbox) answer(entry *idempotencyEntry) {
	delete(o.unsent, entry.key)
	o.link.Publish(o.announce(entry)...)
}

// announce returns the messages that announce an entry, and records that they are sent.
func (o *keyOutbox) announce(entry *idempotencyEntry) []handover.Message {
	messages := []handover.Message{entry.known()}
	switch entry.state {
	case entryCompleted:
		delete(o.announced, entry.key)
		messages = append(messages, o.completion(entry))
	case entryRunning:
		o.announced[entry.key] = announcedRunning
	case entryPending:
		o.announced[entry.key] = announcedKnown
	}
	return messages
}

// completion returns the message that announces the end of the run of an entry. The result is left out if too many messages
// wait: it would take memory here. The other process then knows that the key was run, and fails retries.
func (o *keyOutbox) completion(entry *idempotencyEntry) handover.Message {
	if !o.maySendResult() {
		return handover.RunCompleted{IdempotencyKey: entry.key}
	}
	return handover.RunCompleted{IdempotencyKey: entry.key, OK: entry.reusable, Result: entry.result}
}

// changeMessages returns the messages that announce the change of a key. entry is nil if the key has none.
func (o *keyOutbox) changeMessages(key string, entry *idempotencyEntry) []handover.Message {
	announced := o.announced[key]
	switch {
	case entry == nil && announced != announcedNothing:
		delete(o.announced, key)
		return []handover.Message{handover.KeyReleased{IdempotencyKey: key}}
	case entry == nil, entry.owner != nil, !entry.hasRun():
		return nil // nothing to announce, or the outcome follows
	case entry.state == entryCompleted && announced == announcedRunning:
		delete(o.announced, key)
		return []handover.Message{o.completion(entry)}
	case entry.state == entryRunning && announced == announcedRunning:
		return nil
	}
	return o.announce(entry)
}

// concerns reports whether a key, as it is now or as it was announced, must be announced to the other process. entry is nil if the
// key has none.
func (o *keyOutbox) concerns(key string, entry *idempotencyEntry) bool {
	return o.announced[key] != announcedNothing || entry != nil && entry.owner == nil && entry.hasRun()
}

// keyChanged announces a change of a key of this process to the other ones, now or when there is room for it.
func (s *Server) keyChanged(key string) {
	for _, outbox := range s.handover.outboxes {
		s.sendChange(outbox, key)
	}
}

// sendChange announces a change of a key to one process, now or when there is room for it.
func (s *Server) sendChange(outbox *keyOutbox, key string) {
	switch {
	case outbox.covers(key):
	case outbox.concerns(key, s.idempotency.entries[key]):
		outbox.changed[key] = struct{}{}
		s.sendKeys(outbox)
	default:
		delete(outbox.changed, key)
	}
}

// runNotStarted records that the run of a key of this process did not start, after it may have been
// announced. The next run, or the release of the key, is announced then.
func (s *Server) runNotStarted(key string) {
	for _, outbox := range s.handover.outboxes {
		if outbox.announced[key] != announcedNothing {
			outbox.announced[key] = announcedKnown
		}
	}
}

// runCompleted announces the end of a run of this process to the other ones. Unlike keyChanged, it passes on the result also if
// that is not retained here.
func (s *Server) runCompleted(key string, result runResult) {
	for _, outbox := range s.handover.outboxes {
		if outbox.covers(key) || outbox.announced[key] != announcedRunning || !outbox.maySendResult() {
			s.sendChange(outbox, key)
			continue
		}
		delete(outbox.announced, key)
		outbox.link.Publish(handover.RunCompleted{IdempotencyKey: key, OK: result.ok, Result: result.body})
	}
}

// keyForgotten records that the window of a key of this process has ended. The other processes know its end.
func (s *Server) keyForgotten(key string) {
	for _, outbox := range s.handover.outboxes {
		delete(outbox.announced, key)
	}
}

// startKeySync starts to send all keys to a successor, unless its link has ended.
func (s *Server) startKeySync(link *handover.Link) {
	if outbox := s.handover.outboxes[link]; outbox != nil {
		s.addAllKeys(outbox)
		s.sendKeys(outbox)
	}
}

// addAllKeys adds all keys to an outbox to which they were not added before.
func (s *Server) addAllKeys(outbox *keyOutbox) {
	if outbox.started {
		return
	}
	outbox.started = true
	outbox.unsent = make(map[string]struct{}, s.idempotency.size())
	for key := range s.idempotency.entries {
		outbox.unsent[key] = struct{}{}
	}
}

// sendKeys sends what an outbox holds while there is room for it, and continues later if that leaves some.
func (s *Server) sendKeys(outbox *keyOutbox) {
	for len(outbox.changed) > 0 && outbox.link.Unwritten() < maxUnwrittenChanges {
		outbox.link.Publish(s.takeChanges(outbox)...)
	}
	for len(outbox.unsent) > 0 && outbox.link.Unwritten() < maxUnwrittenSync {
		outbox.link.Publish(s.takeUnsent(outbox)...)
	}
	if len(outbox.changed) > 0 || len(outbox.unsent) > 0 {
		s.retrySendKeys(outbox)
		return
	}
	if outbox.started && !outbox.synced {
		outbox.synced = true
		outbox.link.Publish(handover.KeysSynced{})
	}
}

// retrySendKeys continues sendKeys after outboxInterval, unless that is scheduled already or the link has ended by then.
func (s *Server) retrySendKeys(outbox *keyOutbox) {
	if outbox.retry {
		return
	}
	outbox.retry = true
	s.deadlines.Add(s.clock.now+outboxInterval, func() {
		outbox.retry = false
		if s.handover.outboxes[outbox.link] == outbox {
			s.sendKeys(outbox)
		}
	})
}

// takeChanges takes changed keys from an outbox, and returns messages on them.
func (s *Server) takeChanges(outbox *keyOutbox) []handover.Message {
	return s.takeKeys(outbox.changed, outbox.changeMessages)
}

// takeUnsent takes keys that were known when the successor joined from an outbox, and returns messages on those that were
// run. It leaves out keys of the successor, and those that were dropped since. The successor claims those that were not run.
func (s *Server) takeUnsent(outbox *keyOutbox) []handover.Message {
	return s.takeKeys(outbox.unsent, func(_ string, entry *idempotencyEntry) []handover.Message {
		if entry == nil || !entry.hasRun() || entry.owner == outbox.link {
			return nil
		}
		return outbox.announce(entry)
	})
}

// takeKeys takes keys from a set, and returns messages of about keyBatchBytes on them.
func (s *Server) takeKeys(
	keys map[string]struct{}, messagesOn func(key string, entry *idempotencyEntry) []handover.Message,
) (messages []handover.Message) {
	size := 0
	for key := range keys {
		if size >= keyBatchBytes {
			break
		}
		delete(keys, key)
		entry := s.idempotency.entries[key]
		added := messagesOn(key, entry)
		messages = append(messages, added...)
		size += keyMessageBytes * len(added)
		if entry != nil {
			size += len(entry.result)
		}
	}
	return messages
}

// finishKeys sends all that the outboxes hold, and then that this process runs nothing more.
func (s *Server) finishKeys() {
	for _, outbox := range s.handover.outboxes {
		s.addAllKeys(outbox)
		for len(outbox.unsent) > 0 {
			outbox.link.Publish(s.takeUnsent(outbox)...)
		}
		for len(outbox.changed) > 0 {
			outbox.link.Publish(s.takeChanges(outbox)...)
		}
		if outbox.successor {
			outbox.link.Publish(handover.RunsEnded{})
		}
	}
}

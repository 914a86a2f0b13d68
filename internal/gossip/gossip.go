// Package gossip has the processes of a fleet know one another. The failure detection is memberlist's (SWIM with
// Lifeguard's local health); the words of members travel in its packets. What is made of all that is decided in
// package fleet, whose view belongs to one goroutine here and is published as snapshots.
//
// Nothing here is needed to answer a request. Without others the snapshot holds this process alone.
package gossip

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"falldeal/internal/fleet"
	"falldeal/internal/logging"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// Bounds and times that an operator does not set.
const (
	tickInterval                = 250 * time.Millisecond // between two looks of the keeper; a snapshot lacks no change for longer
	membersPerExtraTick         = 64                     // what only tells of load is published one tick later for so many members
	maxAggregateDelay           = time.Second            // but not later than this where a sum of a zone has come
	dialInterval                = time.Second            // between two looks for members to call
	membersPerExtraDialInterval = 256                    // and as much more for each so many members
	forgetInterval              = 10 * time.Second       // between two looks for members to forget
	updateQueueLength           = 1024                   // words of others that wait for the keeper
	directQueueLength           = 256                    // messages to single members that wait to be sent
	maxJoinStateBytes           = 512 << 10              // bytes that a newcomer is told
	updatesPerSync              = 32                     // words of others in a later exchange
	changeRetransmitMultiplier  = 3                      // a word that changes something is passed on so many times the logarithm of the size
	loadRetransmitMultiplier    = 2                      // and one that only tells how much there is to do
	minRetransmitNodes          = 10                     // a smaller fleet passes words on as often as one of that size: at less, one in five is missed
	streamTimeout               = 2 * time.Second        // for a call to another process
	leaveTimeout                = 200 * time.Millisecond // for the good-bye to be told by the failure detection, too
	maxLeaveRecipients          = 8                      // members that are told of it at once
	maxChangeLines              = 64                     // lines of log for one publication
	minSyncInterval             = 15 * time.Second       // between two full exchanges with one other member
	syncIntervalPerMember       = 100 * time.Millisecond // the same by the expected size: an exchange names everybody
	gossipToDeadTime            = 30 * time.Second       // a lost process is still gossiped to, so that it can object
)

// Config is what a process needs to take part.
type Config struct {
	Place         fleet.Place // Addr: where others reach it
	Listen        string      // where it listens, TCP and UDP; IP and port
	Seeds         []string
	Keys          [][]byte // the first one encrypts; none: no encryption
	Digest        uint64   // of the configuration
	Size          int      // members that are expected, for pacing
	Limits        fleet.Limits
	ProbeInterval time.Duration // between two probes
	Seed          uint64

	Incarnation uint64                        // of the start: goes by the system's clock
	Transport   memberlist.NodeAwareTransport // nil: sockets at Listen
}

// Counters count since the start. They may be read at any time.
type Counters struct {
	PacketsOut, BytesOut, Streams, StreamBytes atomic.Int64 // sent by this process
	Updates, NewUpdates                        atomic.Int64 // read from others, and those of them that were news
	Malformed, ForeignPackets, Overflow        atomic.Int64 // dropped: unreadable; not of this fleet; too many at once
	Calls, CallsFailed                         atomic.Int64 // to members and seeds that were not reached
	Direct                                     atomic.Int64 // messages to single members that were sent
	Suspicions, Objections                     atomic.Int64 // raised by this process; against this process
}

// Fleet is this process's part of a fleet. Snapshot and Now may be called from any goroutine; Run takes part until
// its context ends.
type Fleet struct {
	Counters Counters

	config           Config
	log              logrus.FieldLogger
	warn             *logging.Limiter
	startedAt        time.Time
	keyring          *memberlist.Keyring
	transport        *countingTransport
	changeBroadcasts memberlist.TransmitLimitedQueue // of words that change something, which go first
	loadBroadcasts   memberlist.TransmitLimitedQueue // of the others

	statuses       chan fleet.Status
	changes        chan Change
	updates        chan recordUpdate
	dialResults    chan dialResult
	dialRounds     chan []dialTarget
	directMessages chan directMessage
	messageHandler atomic.Pointer[func(b []byte)] // is handed messages to this member
	snapshot       atomic.Pointer[fleet.Snapshot]

	mu             sync.Mutex
	processReached map[string]bool // processes that came (true) and went (false) since the keeper looked

	// The keeper's own.
	view              *fleet.View
	self              *fleet.Self
	rejoin            *fleet.Rejoin
	memberlist        *memberlist.Memberlist
	dialing           bool
	left              bool
	changed           bool          // since the last snapshot, in more than load
	aggregateReceived bool          // since then, a zone's sum has come
	publishedAt       time.Duration // when that was made
	nextDialAt        time.Duration // when to look next for members to call, and to forget
	nextForgetAt      time.Duration
}

// Change is what a reload of the operators' file may change.
type Change struct {
	Seeds  []string
	Keys   [][]byte
	Digest uint64
}

// recordUpdate is a record of another process, on its way to the keeper or to others.
type recordUpdate struct {
	record     fleet.Record
	recordedAt time.Duration
	now        func() time.Duration
}

// Name, Invalidates, Message and Finished make a word a broadcast: the newer word of a name replaces the older.
func (w *recordUpdate) Name() string { return w.record.Name }
func (w *recordUpdate) Invalidates(older memberlist.Broadcast) bool {
	other, ok := older.(*recordUpdate)
	return ok && other.record.Name == w.record.Name
}
func (w *recordUpdate) Message() []byte {
	return fleet.AppendUpdate(nil, &w.record, w.now()-w.recordedAt)
}
func (w *recordUpdate) Finished() {}

type dialTarget struct {
	addr string
	name string // empty for a seed
	run  uint64
}

// directMessage is a message to one member.
type directMessage struct {
	to      memberlist.Address
	payload []byte
}

type dialResult struct {
	dialTarget
	evidence fleet.Evidence
}

// New returns a process's part in a fleet; nothing happens before Listen and Run. An error names the key of [fleet] at
// fault.
func New(config Config, logger logrus.FieldLogger) (*Fleet, error) {
	fleetMember := &Fleet{config: config, log: logger, warn: logging.NewLimiter(logger), startedAt: time.Now(),
		statuses: make(chan fleet.Status, 1), changes: make(chan Change, 1), updates: make(chan recordUpdate, updateQueueLength),
		dialResults: make(chan dialResult, 8), dialRounds: make(chan []dialTarget, 1), directMessages: make(chan directMessage, directQueueLength), processReached: map[string]bool{},
		view:   fleet.NewView(config.Place.Name, config.Limits),
		rejoin: fleet.NewRejoin(config.Seeds, rand.New(rand.NewPCG(config.Seed, config.Place.Run)))}
	fleetMember.self = fleet.NewSelf(0, config.Place, config.Digest, config.Incarnation)
	fleetMember.changeBroadcasts.NumNodes = func() int { return max(len(fleetMember.Snapshot().Members), minRetransmitNodes) }
	fleetMember.loadBroadcasts.NumNodes = fleetMember.changeBroadcasts.NumNodes
	fleetMember.changeBroadcasts.RetransmitMult, fleetMember.loadBroadcasts.RetransmitMult = changeRetransmitMultiplier, loadRetransmitMultiplier
	if len(config.Keys) > 0 {
		ring, err := memberlist.NewKeyring(config.Keys, config.Keys[0])
		if err != nil {
			return nil, fmt.Errorf("fleet.key_file: %w", err)
		}
		fleetMember.keyring = ring
	}
	fleetMember.view.Merge(0, 0, fleetMember.self.Record())
	fleetMember.snapshot.Store(fleetMember.view.Snapshot(0))
	return fleetMember, nil
}

// Listen opens the sockets. Run does so where it was not called.
func (f *Fleet) Listen() error {
	transport := f.config.Transport
	if transport == nil {
		t, err := listen(f.config.Listen, log.New(logWriter{f}, "", 0))
		if err != nil {
			return fmt.Errorf("fleet.listen: %w", err)
		}
		transport = t
	}
	f.transport = &countingTransport{NodeAwareTransport: transport, counters: &f.Counters, answered: map[string]bool{}}
	return nil
}

// Now is the time on this process's clock, by which snapshots go. It runs on while the process is stopped.
func (f *Fleet) Now() time.Duration { return time.Since(f.startedAt) }

// Snapshot is what is known; it is never nil and never changes.
func (f *Fleet) Snapshot() *fleet.Snapshot { return f.snapshot.Load() }

// Publish has the fleet told what the loop says. It never blocks: what was not taken yet is replaced. One goroutine
// may call it.
func (f *Fleet) Publish(s fleet.Status) {
	select {
	case <-f.statuses:
	default:
	}
	f.statuses <- s
}

// Send sends b to a member, once and without word whether it came. It never blocks: what is too much is dropped. Any
// goroutine may call it; b is not used by the caller any more.
func (f *Fleet) Send(to *fleet.Member, b []byte) {
	select {
	case f.directMessages <- directMessage{memberlist.Address{Addr: to.Addr, Name: to.Process()}, append([]byte{fleet.KindDirect}, b...)}:
	default:
		f.Counters.Overflow.Add(1)
	}
}

// OnMessage has messages to this member handed to hear, which must not block and must not keep b.
func (f *Fleet) OnMessage(handler func(b []byte)) { f.messageHandler.Store(&handler) }

// sendDirect writes messages to single members, beside the keeper.
func (f *Fleet) sendDirect(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-f.directMessages:
			f.Counters.Direct.Add(1)
			if err := f.memberlist.SendToAddress(d.to, d.payload); err != nil {
				f.warn.Warn("fleet direct", "a message to a member was not sent", err)
			}
		}
	}
}

// Reload takes over what may change. One goroutine may call it.
func (f *Fleet) Reload(c Change) {
	select {
	case <-f.changes:
	default:
	}
	f.changes <- c
}

// Run takes part until ctx ends, and then says good-bye.
func (f *Fleet) Run(ctx context.Context) error {
	if f.transport == nil {
		if err := f.Listen(); err != nil {
			return err
		}
	}
	list, err := memberlist.Create(f.memberlistConfig())
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	f.memberlist = list
	ctx, cancel := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.runDialRounds(ctx) })
	g.Go(func() error { return f.sendDirect(ctx) })
	g.Go(func() error {
		defer cancel()
		f.ownView(ctx)
		return nil
	})
	return g.Wait()
}

func (f *Fleet) memberlistConfig() *memberlist.Config {
	config := memberlist.DefaultLANConfig()
	config.Name = fleet.Process(f.config.Place.Name, f.config.Place.Run)
	config.Transport = f.transport
	host, port, _ := net.SplitHostPort(f.config.Place.Addr) // checked with the configuration
	config.AdvertiseAddr = host
	config.AdvertisePort, _ = strconv.Atoi(port)
	config.BindAddr, config.BindPort = host, config.AdvertisePort
	config.ProbeInterval, config.ProbeTimeout = f.config.ProbeInterval, f.config.ProbeInterval*2/5
	config.GossipInterval, config.GossipToTheDeadTime = 200*time.Millisecond, gossipToDeadTime
	config.PushPullInterval = max(minSyncInterval, time.Duration(f.config.Size)*syncIntervalPerMember)
	config.TCPTimeout = streamTimeout
	config.EnableCompression = false // packets are small, and processor time is what there is least of
	config.Keyring = f.keyring
	config.Logger = log.New(logWriter{f}, "", 0)
	config.Delegate, config.Events = delegate{f}, delegate{f}
	return config
}

// ownView is the goroutine that owns the view.
func (f *Fleet) ownView(ctx context.Context) {
	timer := time.NewTicker(tickInterval)
	defer timer.Stop()
	f.publishRecord()
	for {
		select {
		case <-ctx.Done():
			f.leave()
			return
		case s := <-f.statuses:
			if f.self.LoopStatus(f.Now(), s) {
				f.publishRecord()
			}
			if s.Replaced && !f.left {
				f.log.Info("fleet: a newer process takes this one's place")
				f.leave()
			}
		case c := <-f.changes:
			f.applyReload(c)
		case w := <-f.updates:
			f.receiveUpdate(w)
		case x := <-f.dialResults:
			if x.name == "" && x.addr == "" {
				f.dialing = false
			} else {
				f.view.RecordEvidence(x.name, x.run, x.evidence)
				f.changed = true
			}
		case <-timer.C:
			f.maintain()
		}
	}
}

// maintain is what is done at each tick.
func (f *Fleet) maintain() {
	if f.left {
		return
	}
	now := f.Now()
	f.mu.Lock()
	for process, reached := range f.processReached {
		if name, run, err := fleet.ParseProcess(process); err == nil {
			reach := fleet.Lost
			if reached {
				reach = fleet.Reached
			}
			f.view.ObserveReach(now, name, run, reach)
			f.changed = true
		}
	}
	clear(f.processReached)
	f.mu.Unlock()
	if now >= f.nextForgetAt {
		f.nextForgetAt = now + forgetInterval
		f.view.Forget(now)
	}
	if f.self.PublishDue(now, f.view.Size()) {
		f.publishRecord()
	}
	wait := tickInterval * time.Duration(1+f.view.Size()/membersPerExtraTick)
	if f.aggregateReceived {
		wait = min(wait, maxAggregateDelay)
	}
	if f.changed || now-f.publishedAt >= wait-tickInterval/2 {
		f.publishSnapshot(now)
	}
	if !f.dialing && now >= f.nextDialAt {
		f.nextDialAt = now + dialInterval*time.Duration(1+f.view.Size()/membersPerExtraDialInterval)
		f.startDialRound(now)
	}
}

// publishRecord passes the next word of this process on.
func (f *Fleet) publishRecord() {
	if f.left {
		return
	}
	now := f.Now()
	record := f.self.NextRecord(now)
	f.mergeUpdate(now, recordUpdate{record, now - record.Stalled, f.Now})
}

// mergeUpdate joins a word and, if it is news, passes it on.
func (f *Fleet) mergeUpdate(now time.Duration, update recordUpdate) bool {
	previous := f.view.Known(update.record.Name)
	if !f.view.Merge(now, now-update.recordedAt, update.record) {
		return false
	}
	if previous == nil || update.record.Urgent(previous) {
		f.changeBroadcasts.QueueBroadcast(&update)
		f.changed = true
	} else {
		f.aggregateReceived = f.aggregateReceived || update.record.Load.Aggregate != ""
		f.loadBroadcasts.QueueBroadcast(&update)
	}
	return true
}

// receiveUpdate joins what another process told.
func (f *Fleet) receiveUpdate(update recordUpdate) {
	if f.left {
		return
	}
	now := f.Now()
	f.Counters.Updates.Add(1)
	if f.self.Receive(now, &update.record) {
		f.publishRecord()
		if f.self.NameReleased() {
			f.log.WithFields(logrus.Fields{"name": update.record.Name, "by": update.record.Addr}).
				Error("another process goes by this name and was started before; this one leaves the fleet and serves alone")
			f.publishSnapshot(now)
			f.leave()
			return
		}
	}
	if f.mergeUpdate(now, update) {
		f.Counters.NewUpdates.Add(1)
	} else if newer, recordedAt := f.view.SupersededBy(&update.record); newer != nil {
		f.changeBroadcasts.QueueBroadcast(&recordUpdate{*newer, recordedAt, f.Now})
	}
}

func (f *Fleet) applyReload(c Change) {
	f.rejoin.SetSeeds(c.Seeds)
	if f.self.Reconfigured(c.Digest) {
		f.publishRecord()
	}
	if err := f.replaceKeys(c.Keys); err != nil {
		f.log.WithError(err).Error("keys of the fleet not taken over; those in force stay")
	}
}

// replaceKeys puts other keys in force. The first one encrypts; all of them are understood.
func (f *Fleet) replaceKeys(keys [][]byte) error {
	if len(keys) == 0 || f.keyring == nil {
		if len(keys) != 0 || f.keyring != nil {
			return errors.New("fleet.key_file: encryption is begun or ended by a start only")
		}
		return nil
	}
	for _, key := range keys {
		if err := f.keyring.AddKey(key); err != nil {
			return err
		}
	}
	if err := f.keyring.UseKey(keys[0]); err != nil {
		return err
	}
	for _, old := range f.keyring.GetKeys() {
		kept := false
		for _, key := range keys {
			kept = kept || string(key) == string(old)
		}
		if !kept {
			if err := f.keyring.RemoveKey(old); err != nil {
				return err
			}
		}
	}
	return nil
}

// publishSnapshot makes a snapshot, and logs what has changed since the last one.
func (f *Fleet) publishSnapshot(now time.Duration) {
	snapshot, previous := f.view.Snapshot(now), f.Snapshot()
	f.changed, f.aggregateReceived, f.publishedAt = false, false, now
	changes := snapshot.Changes(previous)
	for i, change := range changes {
		if i == maxChangeLines {
			f.log.WithField("more", len(changes)-i).Info("fleet: further changes at the same time")
			break
		}
		line := f.log.WithFields(logrus.Fields{"what": change.Kind, "member": change.Member, "from": change.From, "to": change.To,
			"age_ms": change.Age.Milliseconds(), "position": snapshot.Position.String()})
		if change.Kind == "position" {
			line.Warn("fleet")
		} else {
			line.Info("fleet")
		}
	}
	f.snapshot.Store(snapshot)
}

// leave says good-bye. It is called once, at the end or when the name is another's.
func (f *Fleet) leave() {
	if f.left {
		return
	}
	if !f.self.NameReleased() {
		f.sendLeave()
	}
	f.left = true
	if err := f.memberlist.Leave(leaveTimeout); err != nil {
		f.log.WithError(err).Debug("fleet: nobody heard the good-bye")
	}
	if err := f.memberlist.Shutdown(); err != nil {
		f.log.WithError(err).Warn("fleet: sockets not closed")
	}
}

// sendLeave makes the last word and sends it to some members at once: the process may be over before the next packet of
// the ordinary kind goes out.
func (f *Fleet) sendLeave() {
	now := f.Now()
	record := f.self.LeaveRecord(now)
	update := recordUpdate{record, now, f.Now}
	f.mergeUpdate(now, update)
	snapshot := f.Snapshot()
	sent := 0
	for _, i := range rand.Perm(len(snapshot.Members)) {
		member := &snapshot.Members[i]
		if member.Self || member.Liveness != fleet.Alive || sent == maxLeaveRecipients {
			continue
		}
		sent++
		if err := f.memberlist.SendToAddress(memberlist.Address{Addr: member.Addr, Name: member.Process()}, update.Message()); err != nil {
			f.log.WithError(err).Debug("fleet: good-bye not sent")
		}
	}
}

// startDialRound has those called that are not reached, one round at a time.
func (f *Fleet) startDialRound(now time.Duration) {
	snapshot := f.Snapshot()
	var round []dialTarget
	for _, addr := range f.rejoin.NextDials(now, snapshot) {
		target := dialTarget{addr: addr}
		for i := range snapshot.Members {
			if member := &snapshot.Members[i]; member.Addr == addr && member.Liveness != fleet.Left {
				target.name, target.run = member.Name, member.Run
			}
		}
		round = append(round, target)
	}
	if len(round) > 0 {
		f.dialing = true
		f.dialRounds <- round
	}
}

// runDialRounds carries out calls, which take long where nobody answers, beside the keeper.
func (f *Fleet) runDialRounds(ctx context.Context) error {
	report := func(x dialResult) {
		select {
		case f.dialResults <- x:
		case <-ctx.Done():
		}
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case round := <-f.dialRounds:
			for _, target := range round {
				f.Counters.Calls.Add(1)
				f.transport.beginDial(target.addr)
				if _, err := f.memberlist.Join([]string{target.addr}); err != nil {
					f.Counters.CallsFailed.Add(1)
					report(dialResult{target, f.transport.dialEvidence(target.addr)})
				}
			}
			report(dialResult{}) // the round is over
		}
	}
}

// delegate is what memberlist calls, from goroutines of its own. It must not block.
type delegate struct{ fleet *Fleet }

func (d delegate) NodeMeta(int) []byte { return nil }

func (d delegate) NotifyMsg(b []byte) {
	if len(b) > 0 && b[0] == fleet.KindDirect {
		if handler := d.fleet.messageHandler.Load(); handler != nil {
			(*handler)(b[1:])
		}
		return
	}
	record, age, err := fleet.ParseUpdate(b)
	if err != nil {
		d.fleet.Counters.Malformed.Add(1)
		d.fleet.warn.Warn("fleet word", "a message of another member can't be read", err)
		return
	}
	select {
	case d.fleet.updates <- recordUpdate{record, d.fleet.Now() - age, d.fleet.Now}:
	default:
		d.fleet.Counters.Overflow.Add(1) // told again before long
	}
}

func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	broadcasts := d.fleet.changeBroadcasts.GetBroadcasts(overhead, limit)
	for _, broadcast := range broadcasts {
		limit -= overhead + len(broadcast)
	}
	return append(broadcasts, d.fleet.loadBroadcasts.GetBroadcasts(overhead, limit)...)
}

// LocalState tells a newcomer of everybody, and others, now and then, of some.
func (d delegate) LocalState(join bool) []byte {
	snapshot, now := d.fleet.Snapshot(), d.fleet.Now()
	known, limit := len(snapshot.Members), updatesPerSync
	if join {
		limit = known
	}
	var b []byte
	for i := range min(known, limit) {
		if !join {
			i = rand.IntN(known)
		}
		member := &snapshot.Members[i]
		if member.Seq == 0 || member.Liveness == fleet.Unmet {
			continue // never told, or nothing that this process can vouch for
		}
		start := len(b)
		b = fleet.AppendUpdate(append(b, 0, 0), member.Record, member.Age(now))
		binary.BigEndian.PutUint16(b[start:], uint16(len(b)-start-2))
		if len(b) > maxJoinStateBytes {
			break
		}
	}
	return b
}

func (d delegate) MergeRemoteState(b []byte, _ bool) {
	for len(b) >= 2 {
		n := int(binary.BigEndian.Uint16(b))
		if len(b) < 2+n {
			d.fleet.Counters.Malformed.Add(1)
			return
		}
		d.NotifyMsg(b[2 : 2+n])
		b = b[2+n:]
	}
}

func (d delegate) NotifyJoin(n *memberlist.Node)   { d.recordReached(n.Name, true) }
func (d delegate) NotifyLeave(n *memberlist.Node)  { d.recordReached(n.Name, false) }
func (d delegate) NotifyUpdate(n *memberlist.Node) {}

func (d delegate) recordReached(process string, reached bool) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	d.fleet.processReached[process] = reached
}

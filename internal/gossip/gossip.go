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
	tick        = 250 * time.Millisecond // between two looks of the keeper; a snapshot lacks no change for longer
	loadTicks   = 64                     // what only tells of load is published one tick later for so many members
	sumsWithin  = time.Second            // but not later than this where a sum of a zone has come
	callEvery   = time.Second            // between two looks for members to call
	callMore    = 256                    // and as much more for each so many members
	forgetEvery = 10 * time.Second       // between two looks for members to forget
	wordsWait   = 1024                   // words of others that wait for the keeper
	directWait  = 256                    // messages to single members that wait to be sent
	joinState   = 512 << 10              // bytes that a newcomer is told
	syncWords   = 32                     // words of others in a later exchange
	newsRepeats = 3                      // a word that changes something is passed on so many times the logarithm of the size
	loadRepeats = 2                      // and one that only tells how much there is to do
	fewMembers  = 10                     // a smaller fleet passes words on as often as one of that size: at less, one in five is missed
	streamLimit = 2 * time.Second        // for a call to another process
	leaveLimit  = 200 * time.Millisecond // for the good-bye to be told by the failure detection, too
	leaveTold   = 8                      // members that are told of it at once
	linesMost   = 64                     // lines of log for one publication
	syncAtLeast = 15 * time.Second       // between two full exchanges with one other member
	syncPerName = 100 * time.Millisecond // the same by the expected size: an exchange names everybody
	deadKept    = 30 * time.Second       // a lost process is still gossiped to, so that it can object
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

	cfg     Config
	log     logrus.FieldLogger
	warn    *logging.Limiter
	started time.Time
	keyring *memberlist.Keyring
	wire    *wire
	news    memberlist.TransmitLimitedQueue // of words that change something, which go first
	loads   memberlist.TransmitLimitedQueue // of the others

	statuses chan fleet.Status
	changes  chan Change
	words    chan word
	found    chan finding
	calls    chan []target
	direct   chan directed
	hear     atomic.Pointer[func(b []byte)] // is handed messages to this member
	snapshot atomic.Pointer[fleet.Snapshot]

	mu     sync.Mutex
	sights map[string]bool // processes that came (true) and went (false) since the keeper looked

	// The keeper's own.
	view    *fleet.View
	self    *fleet.Self
	rejoin  *fleet.Rejoin
	list    *memberlist.Memberlist
	calling bool
	left    bool
	changed bool          // since the last snapshot, in more than load
	summed  bool          // since then, a zone's sum has come
	shown   time.Duration // when that was made
	callAt  time.Duration // when to look next for members to call, and to forget
	dropAt  time.Duration
}

// Change is what a reload of the operators' file may change.
type Change struct {
	Seeds  []string
	Keys   [][]byte
	Digest uint64
}

// word is a record of another process, on its way to the keeper or to others.
type word struct {
	rec  fleet.Record
	made time.Duration
	now  func() time.Duration
}

// Name, Invalidates, Message and Finished make a word a broadcast: the newer word of a name replaces the older.
func (w *word) Name() string { return w.rec.Name }
func (w *word) Invalidates(o memberlist.Broadcast) bool {
	other, ok := o.(*word)
	return ok && other.rec.Name == w.rec.Name
}
func (w *word) Message() []byte { return fleet.AppendUpdate(nil, &w.rec, w.now()-w.made) }
func (w *word) Finished()       {}

type target struct {
	addr string
	name string // empty for a seed
	run  uint64
}

// directed is a message to one member.
type directed struct {
	to memberlist.Address
	b  []byte
}

type finding struct {
	target
	found fleet.Evidence
}

// New returns a process's part in a fleet; nothing happens before Listen and Run. An error names the key of [fleet] at
// fault.
func New(cfg Config, logger logrus.FieldLogger) (*Fleet, error) {
	f := &Fleet{cfg: cfg, log: logger, warn: logging.NewLimiter(logger), started: time.Now(),
		statuses: make(chan fleet.Status, 1), changes: make(chan Change, 1), words: make(chan word, wordsWait),
		found: make(chan finding, 8), calls: make(chan []target, 1), direct: make(chan directed, directWait), sights: map[string]bool{},
		view:   fleet.NewView(cfg.Place.Name, cfg.Limits),
		rejoin: fleet.NewRejoin(cfg.Seeds, rand.New(rand.NewPCG(cfg.Seed, cfg.Place.Run)))}
	f.self = fleet.NewSelf(0, cfg.Place, cfg.Digest, cfg.Incarnation)
	f.news.NumNodes = func() int { return max(len(f.Snapshot().Members), fewMembers) }
	f.loads.NumNodes = f.news.NumNodes
	f.news.RetransmitMult, f.loads.RetransmitMult = newsRepeats, loadRepeats
	if len(cfg.Keys) > 0 {
		ring, err := memberlist.NewKeyring(cfg.Keys, cfg.Keys[0])
		if err != nil {
			return nil, fmt.Errorf("fleet.key_file: %w", err)
		}
		f.keyring = ring
	}
	f.view.Merge(0, 0, f.self.Record())
	f.snapshot.Store(f.view.Snapshot(0))
	return f, nil
}

// Listen opens the sockets. Run does so where it was not called.
func (f *Fleet) Listen() error {
	transport := f.cfg.Transport
	if transport == nil {
		t, err := listen(f.cfg.Listen, log.New(lines{f}, "", 0))
		if err != nil {
			return fmt.Errorf("fleet.listen: %w", err)
		}
		transport = t
	}
	f.wire = &wire{NodeAwareTransport: transport, count: &f.Counters, seen: map[string]bool{}}
	return nil
}

// Now is the time on this process's clock, by which snapshots go. It runs on while the process is stopped.
func (f *Fleet) Now() time.Duration { return time.Since(f.started) }

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
	case f.direct <- directed{memberlist.Address{Addr: to.Addr, Name: to.Process()}, append([]byte{fleet.KindDirect}, b...)}:
	default:
		f.Counters.Overflow.Add(1)
	}
}

// OnMessage has messages to this member handed to hear, which must not block and must not keep b.
func (f *Fleet) OnMessage(hear func(b []byte)) { f.hear.Store(&hear) }

// sendDirect writes messages to single members, beside the keeper.
func (f *Fleet) sendDirect(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-f.direct:
			f.Counters.Direct.Add(1)
			if err := f.list.SendToAddress(d.to, d.b); err != nil {
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
	if f.wire == nil {
		if err := f.Listen(); err != nil {
			return err
		}
	}
	list, err := memberlist.Create(f.settings())
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	f.list = list
	ctx, cancel := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.callOthers(ctx) })
	g.Go(func() error { return f.sendDirect(ctx) })
	g.Go(func() error {
		defer cancel()
		f.keep(ctx)
		return nil
	})
	return g.Wait()
}

func (f *Fleet) settings() *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name = fleet.Process(f.cfg.Place.Name, f.cfg.Place.Run)
	c.Transport = f.wire
	host, port, _ := net.SplitHostPort(f.cfg.Place.Addr) // checked with the configuration
	c.AdvertiseAddr = host
	c.AdvertisePort, _ = strconv.Atoi(port)
	c.BindAddr, c.BindPort = host, c.AdvertisePort
	c.ProbeInterval, c.ProbeTimeout = f.cfg.ProbeInterval, f.cfg.ProbeInterval*2/5
	c.GossipInterval, c.GossipToTheDeadTime = 200*time.Millisecond, deadKept
	c.PushPullInterval = max(syncAtLeast, time.Duration(f.cfg.Size)*syncPerName)
	c.TCPTimeout = streamLimit
	c.EnableCompression = false // packets are small, and processor time is what there is least of
	c.Keyring = f.keyring
	c.Logger = log.New(lines{f}, "", 0)
	c.Delegate, c.Events = delegate{f}, delegate{f}
	return c
}

// keep is the goroutine that owns the view.
func (f *Fleet) keep(ctx context.Context) {
	timer := time.NewTicker(tick)
	defer timer.Stop()
	f.tell()
	for {
		select {
		case <-ctx.Done():
			f.leave()
			return
		case s := <-f.statuses:
			if f.self.LoopStatus(f.Now(), s) {
				f.tell()
			}
			if s.Replaced && !f.left {
				f.log.Info("fleet: a newer process takes this one's place")
				f.leave()
			}
		case c := <-f.changes:
			f.change(c)
		case w := <-f.words:
			f.joined(w)
		case x := <-f.found:
			if x.name == "" && x.addr == "" {
				f.calling = false
			} else {
				f.view.RecordEvidence(x.name, x.run, x.found)
				f.changed = true
			}
		case <-timer.C:
			f.look()
		}
	}
}

// look is what is done at each tick.
func (f *Fleet) look() {
	if f.left {
		return
	}
	now := f.Now()
	f.mu.Lock()
	for process, here := range f.sights {
		if name, run, err := fleet.ParseProcess(process); err == nil {
			reach := fleet.Lost
			if here {
				reach = fleet.Reached
			}
			f.view.ObserveReach(now, name, run, reach)
			f.changed = true
		}
	}
	clear(f.sights)
	f.mu.Unlock()
	if now >= f.dropAt {
		f.dropAt = now + forgetEvery
		f.view.Forget(now)
	}
	if f.self.PublishDue(now, f.view.Size()) {
		f.tell()
	}
	wait := tick * time.Duration(1+f.view.Size()/loadTicks)
	if f.summed {
		wait = min(wait, sumsWithin)
	}
	if f.changed || now-f.shown >= wait-tick/2 {
		f.publish(now)
	}
	if !f.calling && now >= f.callAt {
		f.callAt = now + callEvery*time.Duration(1+f.view.Size()/callMore)
		f.call(now)
	}
}

// tell passes the next word of this process on.
func (f *Fleet) tell() {
	if f.left {
		return
	}
	now := f.Now()
	r := f.self.NextRecord(now)
	f.join(now, word{r, now - r.Stalled, f.Now})
}

// join joins a word and, if it is news, passes it on.
func (f *Fleet) join(now time.Duration, w word) bool {
	was := f.view.Known(w.rec.Name)
	if !f.view.Merge(now, now-w.made, w.rec) {
		return false
	}
	if was == nil || w.rec.Urgent(was) {
		f.news.QueueBroadcast(&w)
		f.changed = true
	} else {
		f.summed = f.summed || w.rec.Load.Aggregate != ""
		f.loads.QueueBroadcast(&w)
	}
	return true
}

// joined joins what another process told.
func (f *Fleet) joined(w word) {
	if f.left {
		return
	}
	now := f.Now()
	f.Counters.Updates.Add(1)
	if f.self.Receive(now, &w.rec) {
		f.tell()
		if f.self.NameReleased() {
			f.log.WithFields(logrus.Fields{"name": w.rec.Name, "by": w.rec.Addr}).
				Error("another process goes by this name and was started before; this one leaves the fleet and serves alone")
			f.publish(now)
			f.leave()
			return
		}
	}
	if f.join(now, w) {
		f.Counters.NewUpdates.Add(1)
	} else if by, made := f.view.SupersededBy(&w.rec); by != nil {
		f.news.QueueBroadcast(&word{*by, made, f.Now})
	}
}

func (f *Fleet) change(c Change) {
	f.rejoin.Seeds(c.Seeds)
	if f.self.Reconfigured(c.Digest) {
		f.tell()
	}
	if err := f.rekey(c.Keys); err != nil {
		f.log.WithError(err).Error("keys of the fleet not taken over; those in force stay")
	}
}

// rekey puts other keys in force. The first one encrypts; all of them are understood.
func (f *Fleet) rekey(keys [][]byte) error {
	if len(keys) == 0 || f.keyring == nil {
		if len(keys) != 0 || f.keyring != nil {
			return errors.New("fleet.key_file: encryption is begun or ended by a start only")
		}
		return nil
	}
	for _, k := range keys {
		if err := f.keyring.AddKey(k); err != nil {
			return err
		}
	}
	if err := f.keyring.UseKey(keys[0]); err != nil {
		return err
	}
	for _, old := range f.keyring.GetKeys() {
		kept := false
		for _, k := range keys {
			kept = kept || string(k) == string(old)
		}
		if !kept {
			if err := f.keyring.RemoveKey(old); err != nil {
				return err
			}
		}
	}
	return nil
}

// publish makes a snapshot, and logs what has changed since the last one.
func (f *Fleet) publish(now time.Duration) {
	s, old := f.view.Snapshot(now), f.Snapshot()
	f.changed, f.summed, f.shown = false, false, now
	changes := s.Changes(old)
	for i, c := range changes {
		if i == linesMost {
			f.log.WithField("more", len(changes)-i).Info("fleet: further changes at the same time")
			break
		}
		line := f.log.WithFields(logrus.Fields{"what": c.What, "member": c.Member, "from": c.From, "to": c.To,
			"age_ms": c.Age.Milliseconds(), "position": s.Position.String()})
		if c.What == "position" {
			line.Warn("fleet")
		} else {
			line.Info("fleet")
		}
	}
	f.snapshot.Store(s)
}

// leave says good-bye. It is called once, at the end or when the name is another's.
func (f *Fleet) leave() {
	if f.left {
		return
	}
	if !f.self.NameReleased() {
		f.goodBye()
	}
	f.left = true
	if err := f.list.Leave(leaveLimit); err != nil {
		f.log.WithError(err).Debug("fleet: nobody heard the good-bye")
	}
	if err := f.list.Shutdown(); err != nil {
		f.log.WithError(err).Warn("fleet: sockets not closed")
	}
}

// goodBye makes the last word and sends it to some members at once: the process may be over before the next packet of
// the ordinary kind goes out.
func (f *Fleet) goodBye() {
	now := f.Now()
	r := f.self.LeaveRecord(now)
	w := word{r, now, f.Now}
	f.join(now, w)
	s := f.Snapshot()
	sent := 0
	for _, i := range rand.Perm(len(s.Members)) {
		m := &s.Members[i]
		if m.Self || m.Liveness != fleet.Alive || sent == leaveTold {
			continue
		}
		sent++
		if err := f.list.SendToAddress(memberlist.Address{Addr: m.Addr, Name: m.Process()}, w.Message()); err != nil {
			f.log.WithError(err).Debug("fleet: good-bye not sent")
		}
	}
}

// call has those called that are not reached, one round at a time.
func (f *Fleet) call(now time.Duration) {
	s := f.Snapshot()
	var round []target
	for _, addr := range f.rejoin.Next(now, s) {
		t := target{addr: addr}
		for i := range s.Members {
			if m := &s.Members[i]; m.Addr == addr && m.Liveness != fleet.Left {
				t.name, t.run = m.Name, m.Run
			}
		}
		round = append(round, t)
	}
	if len(round) > 0 {
		f.calling = true
		f.calls <- round
	}
}

// callOthers carries out calls, which take long where nobody answers, beside the keeper.
func (f *Fleet) callOthers(ctx context.Context) error {
	tell := func(x finding) {
		select {
		case f.found <- x:
		case <-ctx.Done():
		}
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case round := <-f.calls:
			for _, t := range round {
				f.Counters.Calls.Add(1)
				f.wire.forget(t.addr)
				if _, err := f.list.Join([]string{t.addr}); err != nil {
					f.Counters.CallsFailed.Add(1)
					tell(finding{t, f.wire.evidence(t.addr)})
				}
			}
			tell(finding{}) // the round is over
		}
	}
}

// delegate is what memberlist calls, from goroutines of its own. It must not block.
type delegate struct{ f *Fleet }

func (d delegate) NodeMeta(int) []byte { return nil }

func (d delegate) NotifyMsg(b []byte) {
	if len(b) > 0 && b[0] == fleet.KindDirect {
		if hear := d.f.hear.Load(); hear != nil {
			(*hear)(b[1:])
		}
		return
	}
	r, age, err := fleet.ParseUpdate(b)
	if err != nil {
		d.f.Counters.Malformed.Add(1)
		d.f.warn.Warn("fleet word", "a message of another member can't be read", err)
		return
	}
	select {
	case d.f.words <- word{r, d.f.Now() - age, d.f.Now}:
	default:
		d.f.Counters.Overflow.Add(1) // told again before long
	}
}

func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	b := d.f.news.GetBroadcasts(overhead, limit)
	for _, m := range b {
		limit -= overhead + len(m)
	}
	return append(b, d.f.loads.GetBroadcasts(overhead, limit)...)
}

// LocalState tells a newcomer of everybody, and others, now and then, of some.
func (d delegate) LocalState(join bool) []byte {
	s, now := d.f.Snapshot(), d.f.Now()
	n, most := len(s.Members), syncWords
	if join {
		most = n
	}
	var b []byte
	for i := range min(n, most) {
		if !join {
			i = rand.IntN(n)
		}
		m := &s.Members[i]
		if m.Seq == 0 || m.Liveness == fleet.Unmet {
			continue // never told, or nothing that this process can vouch for
		}
		at := len(b)
		b = fleet.AppendUpdate(append(b, 0, 0), m.Record, m.Age(now))
		binary.BigEndian.PutUint16(b[at:], uint16(len(b)-at-2))
		if len(b) > joinState {
			break
		}
	}
	return b
}

func (d delegate) MergeRemoteState(b []byte, _ bool) {
	for len(b) >= 2 {
		n := int(binary.BigEndian.Uint16(b))
		if len(b) < 2+n {
			d.f.Counters.Malformed.Add(1)
			return
		}
		d.NotifyMsg(b[2 : 2+n])
		b = b[2+n:]
	}
}

func (d delegate) NotifyJoin(n *memberlist.Node)   { d.sight(n.Name, true) }
func (d delegate) NotifyLeave(n *memberlist.Node)  { d.sight(n.Name, false) }
func (d delegate) NotifyUpdate(n *memberlist.Node) {}

func (d delegate) sight(process string, here bool) {
	d.f.mu.Lock()
	defer d.f.mu.Unlock()
	d.f.sights[process] = here
}

// Package schedule plays fleets in memory: the shipped membership code, hundreds of members, faults drawn from a seed,
// in a testing/synctest bubble whose clock runs as fast as the machine can. A seed fixes the faults, their times and
// what the network loses; which of two goroutines that are due at one instant goes first is Go's, so that a verdict
// rests on invariants and on what holds in the end.
package schedule

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"falldeal/internal/fleet"
	"falldeal/internal/gossip"
	"falldeal/lab/memnet"

	"github.com/sirupsen/logrus"
)

// Member is one image server of a fleet in memory, as far as the fleet sees it.
type Member struct {
	Name, Addr, Zone string
	Fleet            *gossip.Fleet // of its process; nil while there is none
	Run              uint64

	host   *memnet.Host
	cancel context.CancelFunc
	ended  chan struct{}
	wedged chan struct{} // closed: its loop says nothing more
	state  fleet.State
}

// Cluster is a fleet in memory. It belongs to one goroutine of a bubble.
type Cluster struct {
	Network   *memnet.Network
	Members   []*Member
	Rand      *rand.Rand
	Keys      func(i int) [][]byte // nil: none
	ClockSkew func(i int) time.Duration

	seeds []string
	probe time.Duration
	runs  uint64
	log   *logrus.Logger
}

// Zones are the data centres over which members are spread in turn.
var Zones = []string{"brussel-noord", "zaventem", "mechelen"}

// New returns a fleet of n members that do not run yet. The first three are seeds.
func New(n int, seed uint64) *Cluster {
	c := &Cluster{Network: memnet.New(seed), Rand: rand.New(rand.NewPCG(seed, 2)), probe: 500 * time.Millisecond, log: logrus.New()}
	c.log.SetOutput(io.Discard)
	for i := range n {
		c.Members = append(c.Members, &Member{Name: fmt.Sprintf("n%d", i), Zone: Zones[i%len(Zones)],
			Addr: fmt.Sprintf("10.%d.%d.%d:7946", i%len(Zones), i>>8, i&255)})
	}
	for i := range min(n, 3) {
		c.seeds = append(c.seeds, c.Members[i].Addr)
	}
	return c
}

// Start starts a process of member i, with the state that it tells.
func (c *Cluster) Start(i int, state fleet.State) *Member {
	m := c.Members[i]
	c.runs++
	born := uint64(time.Now().UnixMilli())
	if c.ClockSkew != nil {
		born += uint64(c.ClockSkew(i).Milliseconds())
	}
	m.Run = born<<20 | c.runs
	m.host = c.Network.Host(m.Addr)
	cfg := gossip.Config{Place: fleet.Place{Name: m.Name, Addr: m.Addr, Region: "belgium", Zone: m.Zone, Version: "1", Run: m.Run},
		Seeds: c.seeds, Digest: 7, Size: len(c.Members), Limits: fleet.Limits{Members: 4096, ForgetAfter: time.Hour}, ProbeInterval: c.probe,
		Seed: c.Rand.Uint64(), Incarnation: born, Transport: m.host}
	if c.Keys != nil {
		cfg.Keys = c.Keys(i)
	}
	f, err := gossip.New(cfg, c.log)
	if err != nil {
		panic(err) // the configuration is this package's own
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.Fleet, m.cancel, m.ended, m.wedged, m.state = f, cancel, make(chan struct{}), make(chan struct{}), state
	go func(ended, wedged chan struct{}) {
		defer close(ended)
		go loop(ctx, f, wedged, state)
		_ = f.Run(ctx)
	}(m.ended, m.wedged)
	return m
}

// loop speaks as the loop of a server does: each second, until it stands still.
func loop(ctx context.Context, f *gossip.Fleet, wedged <-chan struct{}, state fleet.State) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for n := 0; ; n++ {
		f.Publish(fleet.Status{State: state, Load: fleet.Load{Capacity: 6, Busy: 0.5, InFlight: n % 7, CallQuota: 5.9}})
		select {
		case <-ctx.Done():
			return
		case <-wedged:
			return
		case <-t.C:
		}
	}
}

// Kill ends the process of a member without a word.
func (m *Member) Kill() {
	if m.Fleet != nil {
		m.host.Kill()
		m.Leave()
	}
}

// Leave ends it with a good-bye.
func (m *Member) Leave() {
	if m.Fleet != nil {
		m.cancel()
		<-m.ended
		m.Fleet = nil
	}
}

// Wedge has its loop say nothing more, while the rest of the process goes on.
func (m *Member) Wedge() { close(m.wedged) }

// Stop ends all, which a bubble wants: probes and calls that are under way end by their own limits.
func (c *Cluster) Stop() {
	for _, m := range c.Members {
		m.Kill()
	}
	time.Sleep(time.Minute)
}

// LiveMembers are the members whose process runs.
func (c *Cluster) LiveMembers() (live []*Member) {
	for _, m := range c.Members {
		if m.Fleet != nil {
			live = append(live, m)
		}
	}
	return live
}

// CheckAgreement reports whether every live member sees just the live ones as alive, each with its own state, and says why not.
func (c *Cluster) CheckAgreement() error {
	live := c.LiveMembers()
	var first uint64
	for i, m := range live {
		s := m.Fleet.Snapshot()
		if s.Position == fleet.Partitioned || len(live) > 1 && s.Position == fleet.Alone {
			return fmt.Errorf("%s holds itself for %v", m.Name, s.Position)
		}
		alive := 0
		for j := range s.Members {
			if x := &s.Members[j]; x.Liveness == fleet.Alive || x.Liveness == fleet.Wedged {
				alive++
			}
		}
		if alive != len(live) {
			return fmt.Errorf("%s sees %d alive of %d", m.Name, alive, len(live))
		}
		if a := s.Agreement(); i == 0 {
			first = a
		} else if a != first {
			return fmt.Errorf("%s and %s see different things", live[0].Name, m.Name)
		}
	}
	return nil
}

// WaitUntil waits until cond returns nil, and reports how long that took; after limit it reports the last error.
func WaitUntil(limit time.Duration, cond func() error) (time.Duration, error) {
	begun := time.Now()
	for {
		err := cond()
		if err == nil || time.Since(begun) > limit {
			return time.Since(begun), err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Fault is one thing that goes wrong for a while.
type Fault struct {
	Kind            string // cut, oneway, zone, loss, delay, double, kill, stop, wedge, restart
	Target, Peer    int    // members, or zones
	Start, Duration time.Duration
	Intensity       float64
}

// DrawFaults draws what goes wrong: one to four faults within 40 s, over one another.
func (c *Cluster) DrawFaults() (faults []Fault) {
	kinds := []string{"cut", "oneway", "zone", "loss", "delay", "double", "kill", "stop", "wedge", "restart"}
	n := len(c.Members)
	for range 1 + c.Rand.IntN(4) {
		f := Fault{Kind: kinds[c.Rand.IntN(len(kinds))], Target: c.Rand.IntN(n), Peer: c.Rand.IntN(n),
			Start: time.Duration(c.Rand.IntN(20_000)) * time.Millisecond, Duration: time.Duration(500+c.Rand.IntN(20_000)) * time.Millisecond,
			Intensity: c.Rand.Float64()}
		faults = append(faults, f)
	}
	return faults
}

// zoneOf is the number of a member's zone.
func (c *Cluster) zoneOf(addr string) (z int) {
	_, _ = fmt.Sscanf(addr, "10.%d.", &z)
	return z
}

// InjectFaults plays faults, and returns once all of them are over and everybody runs. Watch is called ten times a second.
func (c *Cluster) InjectFaults(faults []Fault, watch func()) {
	begun := time.Now()
	done := make([]bool, len(faults))
	for over := false; !over; {
		over = true
		now := time.Since(begun)
		for i, f := range faults {
			if done[i] || now < f.Start {
				over = over && done[i]
				continue
			}
			ended := now >= f.Start+f.Duration
			over = over && ended
			switch m := c.Members[f.Target]; f.Kind {
			case "kill":
				if !ended {
					m.Kill()
				}
			case "restart":
				done[i] = true
				m.Kill()
				c.Start(f.Target, fleet.Serving)
			case "wedge":
				if done[i] = true; m.Fleet != nil {
					m.Wedge()
					time.Sleep(f.Duration)
					m.Kill()
				}
			}
			done[i] = done[i] || ended
		}
		c.Network.SetRule(func(from, to string) memnet.Fault { return c.rule(faults, time.Since(begun), from, to) })
		watch()
		time.Sleep(100 * time.Millisecond)
	}
	c.Network.SetRule(func(string, string) memnet.Fault { return memnet.Fault{Delay: time.Millisecond} })
	for i, m := range c.Members {
		if m.Fleet == nil {
			c.Start(i, fleet.Serving)
		}
	}
}

// rule sums up what befalls a packet.
func (c *Cluster) rule(faults []Fault, now time.Duration, from, to string) memnet.Fault {
	r := memnet.Fault{Delay: time.Millisecond, Jitter: time.Millisecond}
	for _, f := range faults {
		if now < f.Start || now >= f.Start+f.Duration {
			continue
		}
		who, other := c.Members[f.Target].Addr, c.Members[f.Peer].Addr
		switch f.Kind {
		case "cut":
			r.Partition = r.Partition || from == who && to == other || from == other && to == who
		case "oneway":
			r.Partition = r.Partition || from == who && f.Intensity < 0.5 || from == who && to == other
		case "zone":
			z := f.Target % len(Zones)
			r.Partition = r.Partition || (c.zoneOf(from) == z) != (c.zoneOf(to) == z) && (f.Intensity < 0.7 || c.zoneOf(from) == z)
		case "stop":
			r.Partition = r.Partition || from == who || to == who
		case "loss":
			r.LossRatio = max(r.LossRatio, 0.4*f.Intensity)
		case "delay":
			r.Delay += time.Duration(f.Intensity * float64(300*time.Millisecond))
			r.Jitter += time.Duration(f.Intensity * float64(200*time.Millisecond))
		case "double":
			r.DuplicateRatio = max(r.DuplicateRatio, f.Intensity)
		}
	}
	return r
}

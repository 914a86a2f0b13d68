// Package schedule runs fleets on an in-memory network: the shipped membership code, up to hundreds of members, and faults
// drawn from a seed, in a testing/synctest bubble whose clock runs as fast as the machine can. A seed fixes the faults,
// their times and what the network loses. Which of two goroutines due at the same instant runs first is up to Go, so that
// tests rest on invariants and on the state after recovery.
package schedule

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"falldeal/internal/fleet"
	"falldeal/internal/gossip"
	"falldeal/lab/memnet"

	"github.com/sirupsen/logrus"
)

const (
	maxSeeds           = 3
	probeInterval      = 500 * time.Millisecond // of the failure detection
	maxMembers         = 4096                   // that a member keeps records of
	forgetAfter        = time.Hour
	configDigest       = 7  // the same for all: they agree on the configuration
	runSequenceBits    = 20 // of a process's run, below its start in milliseconds
	clusterRandStream  = 2
	backgroundEndsWith = time.Minute // limit of the probes and calls under way when a member ends
)

// Cluster is a fleet on an in-memory network. It belongs to one goroutine of a bubble.
type Cluster struct {
	Network   *memnet.Network
	Members   []*Member
	Rand      *rand.Rand
	Keys      func(member int) [][]byte      // gossip keys; nil: none
	ClockSkew func(member int) time.Duration // nil: none

	seeds     []string // addresses
	processes uint64   // started so far
	log       *logrus.Logger
}

// Zones are the data centres over which members are spread round robin.
var Zones = []string{"brussel-noord", "zaventem", "mechelen"}

// New returns a fleet of n members that do not run yet. The first three are the seeds.
func New(n int, seed uint64) *Cluster {
	cluster := &Cluster{
		Network: memnet.New(seed), Rand: rand.New(rand.NewPCG(seed, clusterRandStream)), log: logrus.New(),
	}
	cluster.log.SetOutput(io.Discard)
	for i := range n {
		cluster.Members = append(cluster.Members, newMember(i))
	}
	for i := range min(n, maxSeeds) {
		cluster.seeds = append(cluster.seeds, cluster.Members[i].Addr)
	}
	return cluster
}

// Start starts a process of member i that publishes state.
func (c *Cluster) Start(i int, state fleet.State) *Member {
	member := c.Members[i]
	c.processes++
	startedMs := uint64(time.Now().UnixMilli())
	if c.ClockSkew != nil {
		startedMs += uint64(c.ClockSkew(i).Milliseconds())
	}
	member.Run = startedMs<<runSequenceBits | c.processes
	member.host = c.Network.Host(member.Addr)
	config := c.gossipConfig(member, startedMs)
	if c.Keys != nil {
		config.Keys = c.Keys(i)
	}
	process, err := gossip.New(config, c.log)
	if err != nil {
		panic(err) // the configuration is this package's own
	}
	member.run(process, state)
	return member
}

// gossipConfig returns the configuration of a process. It draws the process's seed.
func (c *Cluster) gossipConfig(member *Member, incarnation uint64) gossip.Config {
	return gossip.Config{
		Process: fleet.ProcessInfo{
			Name: member.Name, Addr: member.Addr, Region: "belgium", Zone: member.Zone, Version: "1", Run: member.Run,
		},
		Seeds: c.seeds, Digest: configDigest, Size: len(c.Members),
		Limits:        fleet.Limits{Members: maxMembers, ForgetAfter: forgetAfter},
		ProbeInterval: probeInterval, Seed: c.Rand.Uint64(), Incarnation: incarnation, Transport: member.host,
	}
}

// Stop kills all members and waits for their background goroutines, as a bubble requires: probes and calls that are under
// way end by their own limits.
func (c *Cluster) Stop() {
	for _, member := range c.Members {
		member.Kill()
	}
	time.Sleep(backgroundEndsWith)
}

// LiveMembers returns the members whose process runs.
func (c *Cluster) LiveMembers() (live []*Member) {
	for _, member := range c.Members {
		if member.Fleet != nil {
			live = append(live, member)
		}
	}
	return live
}

// zoneOf returns the number of a member's zone, which its address begins with.
func zoneOf(addr string) (zone int) {
	_, _ = fmt.Sscanf(addr, "10.%d.", &zone) // the addresses are this package's own
	return zone
}

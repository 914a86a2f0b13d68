// Package schedule tests the membership code of fleets of up to hundreds of members, under schedules of faults. The members
// run the code that ships. They are connected by an in-memory network (package memnet), in a testing/synctest bubble whose
// clock advances as fast as the machine can compute.
//
// A seed determines the faults, their times and which packets the network loses. It does not determine the order of two
// goroutines that are due at the same instant; that is up to the Go scheduler. Therefore tests check invariants and the state
// after recovery, not an exact sequence of events.
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
	maxSeeds          = 3                      // seed members of a fleet
	probeInterval     = 500 * time.Millisecond // of the failure detection
	maxMembers        = 4096                   // members of which a member keeps records
	forgetAfter       = time.Hour              // after which a member that is not reached is removed from a view
	configDigest      = 7                      // the same for all members: their configurations are equal
	runSequenceBits   = 20                     // low bits of a run ID, for the number of the process; above: its start in Unix ms
	clusterRandStream = 2                      // random stream, which differs from those of other users of the same seed
	backgroundTimeout = time.Minute            // until the probes and calls of a killed member have ended
)

// Cluster is a fleet on an in-memory network. It must be used by one goroutine of a synctest bubble only.
type Cluster struct {
	Network   *memnet.Network
	Members   []*Member
	Rand      *rand.Rand                     // source of the faults and of the random seed of each process
	Keys      func(member int) [][]byte      // gossip keys of a member; nil: gossip is not encrypted
	ClockSkew func(member int) time.Duration // clock offset in a member's run ID and incarnation; nil: 0

	seeds     []string       // addresses of the seed members
	processes uint64         // number of processes started so far
	log       *logrus.Logger // of all members; discards its output
}

// Zones are the names of the zones (data centres), to which members are assigned round robin.
var Zones = []string{"brussel-noord", "zaventem", "mechelen"}

// New returns a fleet of n members that do not run yet. The first three members are the seed members: others join through them.
// The argument seed determines the faults and losses.
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

// Start starts a new process of member i, which publishes state.
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
		panic(err) // unreachable: gossipConfig returns a valid configuration
	}
	member.run(process, state)
	return member
}

// gossipConfig returns the configuration of a process. It draws a random seed for the process.
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

// Stop kills all members and waits until their background goroutines have ended, as a synctest bubble requires. Probes and
// calls in progress are not cancelled; they end by their own timeouts, within backgroundTimeout.
func (c *Cluster) Stop() {
	for _, member := range c.Members {
		member.Kill()
	}
	time.Sleep(backgroundTimeout)
}

// LiveMembers returns the members that have a running process.
func (c *Cluster) LiveMembers() (live []*Member) {
	for _, member := range c.Members {
		if member.Fleet != nil {
			live = append(live, member)
		}
	}
	return live
}

// zoneOf returns the number of a member's zone, which is the second number of its IP address.
func zoneOf(addr string) (zone int) {
	_, _ = fmt.Sscanf(addr, "10.%d.", &zone) // newMember makes addresses that match
	return zone
}

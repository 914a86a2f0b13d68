// Package fleetlab runs fleets of falldeal processes on loopback, together with fakes of the agents, the stores and
// the announce service that the processes depend on. It injects faults into the processes and into the links between
// them (package faults). Each process has its own addresses in 127.0.0.0/8.
//
// The laboratory differs from a real fleet as follows:
//   - All processes share one machine, so a large fleet is slower than one with a machine per process.
//   - Network bandwidth is not modelled.
//   - A stalled event loop and a skewed clock are simulated within the server process, which its operators' file
//     enables.
package fleetlab

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"falldeal/lab/fakes"
	"falldeal/lab/faults"
	"falldeal/lab/history"
)

// Lab is a fleet of server processes and the fakes of their dependencies. Its methods are safe for concurrent use.
type Lab struct {
	Log      *history.Log  // records all events; its clock is the laboratory's clock
	Relay    *faults.Relay // carries the gossip between members
	Members  []*Member
	Announce *fakes.AnnounceService
	Stores   map[string]*fakes.Store // by zone

	options Options
	subnet  int         // second octet of all addresses
	closers []io.Closer // sockets of the announce service and the stores, and the listener that reserves the subnet
	key     string      // gossip encryption key in hexadecimal; empty if the gossip is not encrypted

	// mu guards the fields below.
	mu        sync.Mutex
	script    []*scriptedFault
	snapshots []registrySnapshot // registered servers over time, oldest first
}

// New creates the members of a fleet. It starts the fake announce service and the fake stores, which run until Close
// even if ctx ends earlier. StartMembers starts the server processes and their fake agents. The caller must call Close.
func New(ctx context.Context, options Options) (*Lab, error) {
	if err := os.MkdirAll(options.Dir, dirMode); err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
	}
	created := &Lab{
		Log:      history.NewLog(),
		Relay:    faults.NewRelay(options.Seed),
		Announce: &fakes.AnnounceService{},
		Stores:   map[string]*fakes.Store{},
		options:  options,
	}
	if err := created.prepare(ctx); err != nil {
		created.Close()
		return nil, err
	}
	return created, nil
}

func (l *Lab) prepare(ctx context.Context) error {
	if err := l.reserveSubnet(ctx); err != nil {
		return err
	}
	if err := l.startAnnounceService(ctx); err != nil {
		return err
	}
	for i := range l.options.Zones {
		if err := l.startStore(ctx, i); err != nil {
			return err
		}
	}
	if l.options.Encrypted {
		l.key = fleetKey(l.options.Seed)
	}
	for i := range l.options.Members {
		if err := l.addMember(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// Close kills all server processes and stops the relay and the fakes.
func (l *Lab) Close() {
	for _, m := range l.Members {
		m.Signal(killSignal) // SIGKILL also ends a paused process
	}
	for _, m := range l.Members {
		m.Wait()
	}
	l.Relay.Close()
	for _, c := range l.closers {
		_ = c.Close() // no server process is left that uses the socket
	}
}

// FindMember returns the member with the given name, or nil if there is none.
func (l *Lab) FindMember(name string) *Member {
	for _, m := range l.Members {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// Key returns the gossip encryption key in hexadecimal, or "" if the gossip is not encrypted.
func (l *Lab) Key() string { return l.key }

// fleetKey derives the gossip encryption key from the seed of the fleet.
func fleetKey(seed uint64) string {
	const keyBytes, randStream = 32, 9
	key := make([]byte, keyBytes)
	random := rand.New(rand.NewPCG(seed, randStream))
	for i := range key {
		key[i] = byte(random.Uint32())
	}
	return hex.EncodeToString(key)
}

// addMember creates member i, registers it with the relay and writes its files.
func (l *Lab) addMember(ctx context.Context, i int) error {
	zone := i % len(l.options.Zones)
	host := 1 + i/len(l.options.Zones)
	added := &Member{
		Name:             "n" + strconv.Itoa(i),
		Zone:             l.options.Zones[zone],
		FrontAddr:        l.addr(memberNet+zone, host, frontPort),
		ConsoleAddr:      l.addr(memberNet+zone, host, consolePort),
		GossipListenAddr: l.addr(memberNet+zone, host, gossipPort),
		GossipAddr:       l.gossipAddr(i),
		lab:              l,
		number:           i,
		dir:              filepath.Join(l.options.Dir, "n"+strconv.Itoa(i)),
		agentAddr:        l.addr(agentNet+zone, host, agentPort),
	}
	l.Members = append(l.Members, added)
	if err := l.Relay.Add(ctx, added.Name, added.GossipAddr, added.GossipListenAddr); err != nil {
		return fmt.Errorf("add relay endpoint of %s: %w", added.Name, err)
	}
	return added.writeFiles()
}

// Addresses have the form 127.SUBNET.NETWORK.HOST. Members, agents and relay endpoints use one network per zone: the
// constant plus the index of the zone.
const (
	memberNet      = 10
	agentNet       = 60
	relayNet       = 110
	announceNet    = 200
	storeNet       = 201
	reservationNet = 255

	frontPort       = 5050
	consolePort     = 5051
	gossipPort      = 7946
	agentPort       = 4400
	announcePort    = 8761
	storePort       = 8900
	reservationPort = 7000
	reservationHost = 254

	minSubnet      = 16
	subnets        = 230
	subnetAttempts = 200
)

// reserveSubnet picks a random subnet of loopback and reserves it by listening on an address in it. The listener
// fails on a subnet that another laboratory on this machine uses.
func (l *Lab) reserveSubnet(ctx context.Context) (err error) {
	for range subnetAttempts {
		l.subnet = minSubnet + rand.IntN(subnets)
		var reservation net.Listener
		reservation, err = listenTCP(ctx, l.addr(reservationNet, reservationHost, reservationPort))
		if err == nil {
			l.closers = append(l.closers, reservation)
			return nil
		}
	}
	return fmt.Errorf("no free loopback subnet: %w", err)
}

func listenTCP(ctx context.Context, addr string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return listener, nil
}

func (l *Lab) addr(network, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", l.subnet, network, host, port)
}

// gossipAddr returns the gossip address that member i advertises, which is an endpoint of the relay.
func (l *Lab) gossipAddr(i int) string {
	return l.addr(relayNet+i%len(l.options.Zones), 1+i/len(l.options.Zones), gossipPort)
}

func (l *Lab) announceAddr() string { return l.addr(announceNet, 1, announcePort) }

// storeAddr returns the address of the store of the zone with the given index.
func (l *Lab) storeAddr(zone int) string { return l.addr(storeNet, 1+zone, storePort) }

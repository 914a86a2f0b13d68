// Package fleetlab starts fleets of real processes of the shipped program on loopback, with fakes of all services
// that they depend on, and injects faults (package faults). Each process has addresses of its own in 127.0.0.0/8.
//
// All processes share one machine, so a large fleet is slower than one on machines of its own, and the network's
// bandwidth is not modelled. A blocked loop and a skewed clock are injected by the program itself, as its operators'
// file allows.
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

// Lab is a fleet of processes with the fakes of its dependencies. Its methods may be called from any goroutine.
type Lab struct {
	Log      *history.Log
	Relay    *faults.Relay // of the gossip between members
	Members  []*Member
	Announce *fakes.AnnounceService
	Stores   map[string]*fakes.Store // by zone

	options Options
	subnet  int         // second octet of all addresses
	closers []io.Closer // sockets of the fakes, and the one that reserves the subnet
	key     string

	mu        sync.Mutex
	script    []*scriptedFault
	snapshots []registrySnapshot // oldest first
}

// New prepares a fleet and starts the fakes, which run until Close whatever becomes of ctx. StartMembers starts the
// processes. The caller closes the fleet.
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

// Close ends all processes, the relay and the fakes.
func (l *Lab) Close() {
	for _, m := range l.Members {
		m.Signal(killSignal) // also ends a paused process
	}
	for _, m := range l.Members {
		m.Wait()
	}
	l.Relay.Close()
	for _, c := range l.closers {
		_ = c.Close() // the fleet ends
	}
}

// FindMember returns the member of that name, or nil.
func (l *Lab) FindMember(name string) *Member {
	for _, m := range l.Members {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// Key returns the key of the fleet's gossip, in hexadecimal; empty if it is not encrypted.
func (l *Lab) Key() string { return l.key }

// fleetKey derives the key of a fleet's gossip from a seed.
func fleetKey(seed uint64) string {
	const keyBytes, randStream = 32, 9
	key := make([]byte, keyBytes)
	random := rand.New(rand.NewPCG(seed, randStream))
	for i := range key {
		key[i] = byte(random.Uint32())
	}
	return hex.EncodeToString(key)
}

// addMember adds member i, with its addresses and files.
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
		return fmt.Errorf("relay to %s: %w", added.Name, err)
	}
	return added.writeFiles()
}

// Addresses are 127.SUBNET.NET.HOST. Those of members have a net for each zone.
const (
	memberNet   = 10
	agentNet    = 60
	relayNet    = 110
	announceNet = 200
	storeNet    = 201
	guardNet    = 255

	frontPort    = 5050
	consolePort  = 5051
	gossipPort   = 7946
	agentPort    = 4400
	announcePort = 8761
	storePort    = 8900
	guardPort    = 7000
	guardHost    = 254

	minSubnet      = 16
	subnets        = 230
	subnetAttempts = 200
)

// reserveSubnet chooses a part of loopback that no other laboratory uses now, and keeps others off it by a listener.
func (l *Lab) reserveSubnet(ctx context.Context) (err error) {
	for range subnetAttempts {
		l.subnet = minSubnet + rand.IntN(subnets)
		var guard net.Listener
		guard, err = listenTCP(ctx, l.addr(guardNet, guardHost, guardPort))
		if err == nil {
			l.closers = append(l.closers, guard)
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

// gossipAddr returns the advertised address of member i for gossip, at the relay.
func (l *Lab) gossipAddr(i int) string {
	return l.addr(relayNet+i%len(l.options.Zones), 1+i/len(l.options.Zones), gossipPort)
}

func (l *Lab) announceAddr() string { return l.addr(announceNet, 1, announcePort) }

// storeAddr returns the address of the store of zone number zone.
func (l *Lab) storeAddr(zone int) string { return l.addr(storeNet, 1+zone, storePort) }

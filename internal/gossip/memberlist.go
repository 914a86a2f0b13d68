package gossip

import (
	"log"
	"net"
	"strconv"
	"time"

	"falldeal/internal/fleet"

	"github.com/hashicorp/memberlist"
)

const (
	gossipInterval        = 200 * time.Millisecond // between two rounds of gossip packets
	streamTimeout         = 2 * time.Second        // of a TCP connection to another process
	minSyncInterval       = 15 * time.Second       // between two full exchanges, each with one other member
	syncIntervalPerMember = 100 * time.Millisecond // per expected member, as a full exchange lists all nodes
	gossipToDeadTime      = 30 * time.Second       // for which a lost process still receives gossip, so that it can refute its loss
)

// memberlistConfig returns the configuration of memberlist. Each process is a separate node, named by fleet.Process.
func (f *Fleet) memberlistConfig() *memberlist.Config {
	host, port, _ := net.SplitHostPort(f.config.Process.Addr) // package operators has checked it
	config := memberlist.DefaultLANConfig()
	config.Name = fleet.Process(f.config.Process.Name, f.config.Process.Run)
	config.Transport = f.transport
	config.AdvertiseAddr = host
	config.AdvertisePort, _ = strconv.Atoi(port)
	config.BindAddr = host
	config.BindPort = config.AdvertisePort
	config.ProbeInterval = f.config.ProbeInterval
	config.ProbeTimeout = f.config.ProbeInterval * 2 / 5
	config.GossipInterval = gossipInterval
	config.GossipToTheDeadTime = gossipToDeadTime
	config.PushPullInterval = max(minSyncInterval, time.Duration(f.config.Size)*syncIntervalPerMember)
	config.TCPTimeout = streamTimeout
	config.EnableCompression = false // packets are small, and CPU time is the scarcest resource
	config.Keyring = f.keyring
	config.Logger = log.New(logWriter{f}, "", 0)
	config.Delegate = delegate{f}
	config.Events = eventDelegate{&f.reach}
	return config
}

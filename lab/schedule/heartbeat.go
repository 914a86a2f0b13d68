package schedule

import (
	"context"
	"math"
	"time"

	"falldeal/lab/memnet"
)

// Heartbeats configures all-to-all heartbeats, the failure detection that membership is compared with. In each interval every
// member sends a datagram to every other one. A member that has received none from another for more than MissedLimit
// intervals considers that one lost. Heartbeats run on the same in-memory network.
type Heartbeats struct {
	Interval     time.Duration
	MissedLimit  int // missed heartbeats after which a member is considered lost
	PayloadBytes int // size of a heartbeat
}

// HeartbeatMember is a member of a fleet with all-to-all heartbeats. Its goroutine owns its fields until Stop returns.
type HeartbeatMember struct {
	FalseRemovals int // times that a peer became lost to it; false while that peer runs

	settings     Heartbeats
	host         *memnet.Host
	peers        []string             // addresses of the other members
	lastReceived map[string]time.Time // time of the last heartbeat, by address; at first the start of this member
	lost         map[string]bool      // peers considered lost, by address
	cancel       context.CancelFunc   // ends the goroutine
	ended        chan struct{}        // closed when the goroutine has ended
}

// Start starts a member with the address addrs[i]. The other addresses are its peers.
func (h Heartbeats) Start(network *memnet.Network, addrs []string, i int) *HeartbeatMember {
	ctx, cancel := context.WithCancel(context.Background())
	member := &HeartbeatMember{
		settings: h, host: network.Host(addrs[i]),
		lastReceived: map[string]time.Time{}, lost: map[string]bool{},
		cancel: cancel, ended: make(chan struct{}),
	}
	member.peers = append(append(member.peers, addrs[:i]...), addrs[i+1:]...)
	go member.run(ctx)
	return member
}

// run receives and sends heartbeats until ctx ends.
func (m *HeartbeatMember) run(ctx context.Context) {
	defer close(m.ended)
	ticker := time.NewTicker(m.settings.Interval)
	defer ticker.Stop()
	payload := make([]byte, m.settings.PayloadBytes)
	for _, peer := range m.peers {
		m.lastReceived[peer] = time.Now()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case packet := <-m.host.PacketCh():
			m.received(packet.From.String())
		case <-ticker.C:
			m.sendAndCheck(payload)
		}
	}
}

// received records a heartbeat from a peer.
func (m *HeartbeatMember) received(peer string) {
	m.lastReceived[peer] = time.Now()
	delete(m.lost, peer)
}

// sendAndCheck sends a heartbeat to every peer, and marks the peers that have missed too many heartbeats as lost.
func (m *HeartbeatMember) sendAndCheck(payload []byte) {
	limit := time.Duration(m.settings.MissedLimit) * m.settings.Interval
	for _, peer := range m.peers {
		_, _ = m.host.WriteTo(payload, peer) // heartbeats may be lost
		if time.Since(m.lastReceived[peer]) > limit && !m.lost[peer] {
			m.lost[peer] = true
			m.FalseRemovals++
		}
	}
}

// Stop ends the member without a message to the others.
func (m *HeartbeatMember) Stop() {
	m.host.Kill()
	m.cancel()
	<-m.ended
}

// MinMissedHeartbeats returns the smallest MissedLimit with which a fleet of n members has at most one expected false removal
// per hour. Heartbeats are sent once per second, and each is lost with the probability lossRatio, independently of the others.
// The more datagrams are lost, the higher the limit must be, and the later heartbeats detect failures.
func MinMissedHeartbeats(n int, lossRatio float64) int {
	if lossRatio <= 0 {
		return 1
	}
	const heartbeatsPerHour = 3600
	fleetHeartbeats := float64(n) * float64(n-1) * heartbeatsPerHour
	return int(math.Ceil(math.Log(1/fleetHeartbeats) / math.Log(lossRatio)))
}

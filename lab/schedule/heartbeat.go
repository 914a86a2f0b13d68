package schedule

import (
	"context"
	"math"
	"time"

	"falldeal/lab/memnet"
)

// Heartbeats is the plain failure detection to compare with: at each interval every member sends every other one a
// datagram with its state, and holds a member lost from which it has received none for MissedLimit intervals. It runs on
// the same in-memory network.
type Heartbeats struct {
	Interval     time.Duration
	MissedLimit  int // heartbeats
	PayloadBytes int // of a heartbeat
}

// HeartbeatMember is one member of a fleet with heartbeats. Its goroutine owns its fields until Stop returns.
type HeartbeatMember struct {
	FalseRemovals int // times that it held a member lost

	settings     Heartbeats
	host         *memnet.Host
	peers        []string // addresses
	lastReceived map[string]time.Time
	lost         map[string]bool
	cancel       context.CancelFunc
	ended        chan struct{}
}

// Start starts a member among addrs. Its own address is addrs[i].
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

func (m *HeartbeatMember) received(peer string) {
	m.lastReceived[peer] = time.Now()
	delete(m.lost, peer)
}

// sendAndCheck sends a heartbeat to every peer, and marks the silent ones as lost.
func (m *HeartbeatMember) sendAndCheck(payload []byte) {
	limit := time.Duration(m.settings.MissedLimit) * m.settings.Interval
	for _, peer := range m.peers {
		_, _ = m.host.WriteTo(payload, peer) // a datagram may be lost anyway
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

// MinMissedHeartbeats returns the least number of heartbeats that have to be missed for fewer than one false removal an
// hour in a fleet of n with a heartbeat a second, where lossRatio of them are lost: what plain heartbeats pay for loss in
// time to detect a failure.
func MinMissedHeartbeats(n int, lossRatio float64) int {
	if lossRatio <= 0 {
		return 1
	}
	const heartbeatsPerHour = 3600
	received := float64(n) * float64(n-1) * heartbeatsPerHour
	return int(math.Ceil(math.Log(1/received) / math.Log(lossRatio)))
}

package schedule

import (
	"context"
	"math"
	"time"

	"falldeal/lab/memnet"
)

// Heartbeats is the plain way to compare with: each member sends each other one a datagram of its state each second,
// and calls lost whom it has not heard for Missed seconds. On the same network in memory.
type Heartbeats struct {
	Interval     time.Duration
	MissedLimit  int // beats
	PayloadBytes int // of a beat
}

// HeartbeatMember is one member of a fleet that knows itself by heartbeats.
type HeartbeatMember struct {
	host          *memnet.Host
	heard         map[string]time.Time
	lost          map[string]bool
	FalseRemovals int // times it called somebody lost
	cancel        context.CancelFunc
	ended         chan struct{}
}

// Start starts a member among addrs; its own is addrs[i].
func (h Heartbeats) Start(n *memnet.Network, addrs []string, i int) *HeartbeatMember {
	ctx, cancel := context.WithCancel(context.Background())
	b := &HeartbeatMember{host: n.Host(addrs[i]), heard: map[string]time.Time{}, lost: map[string]bool{}, cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(b.ended)
		t := time.NewTicker(h.Interval)
		defer t.Stop()
		beat := make([]byte, h.PayloadBytes)
		for _, a := range addrs {
			b.heard[a] = time.Now()
		}
		for {
			select {
			case <-ctx.Done():
				return
			case p := <-b.host.PacketCh():
				from := p.From.String()
				b.heard[from] = time.Now()
				delete(b.lost, from)
			case <-t.C:
				for j, a := range addrs {
					if j == i {
						continue
					}
					_, _ = b.host.WriteTo(beat, a)
					if time.Since(b.heard[a]) > time.Duration(h.MissedLimit)*h.Interval && !b.lost[a] {
						b.lost[a] = true
						b.FalseRemovals++
					}
				}
			}
		}
	}()
	return b
}

// Stop ends the member without a word.
func (b *HeartbeatMember) Stop() {
	b.host.Kill()
	b.cancel()
	<-b.ended
}

// MinMissedHeartbeats is the least number of beats that have to be missed for fewer than one false removal an hour in a fleet of n,
// when a share of them is lost: what plain heartbeats pay for loss in time to detect.
func MinMissedHeartbeats(n int, loss float64) int {
	if loss <= 0 {
		return 1
	}
	pairs := float64(n) * float64(n-1) * 3600
	return int(math.Ceil(math.Log(1/pairs) / math.Log(loss)))
}

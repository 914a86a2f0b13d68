package schedule

import (
	"context"
	"fmt"
	"time"

	"falldeal/internal/fleet"
	"falldeal/internal/gossip"
	"falldeal/lab/memnet"
)

// statusInterval is how often the main loop of a server publishes its status.
const statusInterval = time.Second

// Member is one image server as far as the fleet sees it.
type Member struct {
	Name, Addr, Zone string
	Fleet            *gossip.Fleet // of the process that runs; nil: none
	Run              uint64        // of the last process

	host    *memnet.Host
	cancel  context.CancelFunc
	ended   chan struct{} // closed when the process has ended
	stalled chan struct{} // closed to stop the main loop
}

func newMember(i int) *Member {
	zone := i % len(Zones)
	return &Member{
		Name: fmt.Sprintf("n%d", i), Zone: Zones[zone], Addr: fmt.Sprintf("10.%d.%d.%d:7946", zone, i>>8, i&255),
	}
}

// run runs a process of the member until it is killed or leaves.
func (m *Member) run(process *gossip.Fleet, state fleet.State) {
	ctx, cancel := context.WithCancel(context.Background())
	ended, stalled := make(chan struct{}), make(chan struct{})
	m.Fleet = process
	m.cancel = cancel
	m.ended = ended
	m.stalled = stalled
	go func() {
		defer close(ended)
		go publishStatus(ctx, process, stalled, state)
		_ = process.Run(ctx) // it ends with the context
	}()
}

// Kill ends the process of a member without a message to the others.
func (m *Member) Kill() {
	if m.Fleet != nil {
		m.host.Kill()
		m.Leave()
	}
}

// Leave ends the process of a member, which tells the others.
func (m *Member) Leave() {
	if m.Fleet != nil {
		m.cancel()
		<-m.ended
		m.Fleet = nil
	}
}

// Stall stops the main loop of a member, while the rest of its process goes on.
func (m *Member) Stall() { close(m.stalled) }

// publishStatus does what the main loop of a server does for the fleet, until that is stalled.
func publishStatus(ctx context.Context, process *gossip.Fleet, stalled <-chan struct{}, state fleet.State) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		load := fleet.Load{Capacity: 6, Utilization: 0.5, InFlight: n % 7, CallQuota: 5.9}
		process.Publish(fleet.Status{State: state, Load: load})
		select {
		case <-ctx.Done():
			return
		case <-stalled:
			return
		case <-ticker.C:
		}
	}
}

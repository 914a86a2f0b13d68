package schedule

import (
	"context"
	"fmt"
	"time"

	"falldeal/internal/fleet"
	"falldeal/internal/gossip"
	"falldeal/lab/memnet"
)

// statusInterval is the interval at which the main loop of a server publishes its status.
const statusInterval = time.Second

// Member is one image server, reduced to its membership in the fleet.
type Member struct {
	Name, Addr, Zone string
	Fleet            *gossip.Fleet // membership of the running process; nil if none runs
	Run              uint64        // run ID of the last process

	host    *memnet.Host       // of the last process
	cancel  context.CancelFunc // ends the process
	ended   chan struct{}      // closed when the process has ended
	stalled chan struct{}      // closed to stop the main loop
}

// newMember returns member i, which does not run.
func newMember(i int) *Member {
	zone := i % len(Zones)
	return &Member{
		Name: fmt.Sprintf("n%d", i), Zone: Zones[zone], Addr: fmt.Sprintf("10.%d.%d.%d:7946", zone, i>>8, i&255),
	}
}

// run starts a process, which runs until Kill or Leave.
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
		_ = process.Run(ctx) // returns when the context ends
	}()
}

// Kill ends the process of a member without a message to other members. It does nothing if none runs.
func (m *Member) Kill() {
	if m.Fleet != nil {
		m.host.Kill()
		m.Leave() // its messages are lost, because the host is down
	}
}

// Leave shuts the process of a member down, which announces that to other members. It does nothing if none runs.
func (m *Member) Leave() {
	if m.Fleet != nil {
		m.cancel()
		<-m.ended
		m.Fleet = nil
	}
}

// Stall stops the main loop of a member, while the rest of its process continues.
func (m *Member) Stall() { close(m.stalled) }

// publishStatus publishes the status of a member once per statusInterval, as the main loop of a server does, until ctx ends or
// stalled is closed.
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

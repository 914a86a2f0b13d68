package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"falldeal/internal/fleet"

	"github.com/stretchr/testify/require"
)

// coordinatorSimulation simulates a group of members whose store stops answering and recovers. The members' updates are
// delayed and sometimes lost.
type coordinatorSimulation struct {
	random       *rand.Rand
	now          time.Duration
	coordinators []*ProbeCoordinator
	allowances   []CallAllowance // of each member, from its last tick
	alive        []bool
	received     [][]fleet.Load                     // by receiving member, the last load of each sending member
	updates      []loadUpdate                       // updates in transit, by time of arrival
	misreport    func(member int, load *fleet.Load) // changes the published load of a member; nil = no change
	calls        [][]simulatedCall                  // calls in flight, by member
	inFlight     int                                // number of calls in flight
	callCount    int                                // number of calls made so far
}

// loadUpdate is an update in transit between two members.
type loadUpdate struct {
	arrivesAt time.Duration
	from, to  int // indexes of the members
	load      fleet.Load
}

// simulatedCall is a call in flight.
type simulatedCall struct {
	endsAt time.Duration
	ok     bool
}

func newCoordinatorSimulation(members int, seed uint64) *coordinatorSimulation {
	simulation := &coordinatorSimulation{
		random:     rand.New(rand.NewPCG(seed, 7)),
		allowances: make([]CallAllowance, members),
		calls:      make([][]simulatedCall, members),
	}
	for member := range members {
		simulation.coordinators = append(simulation.coordinators, NewProbeCoordinator(uint64(member+1), "z"))
		simulation.received = append(simulation.received, make([]fleet.Load, members))
		simulation.alive = append(simulation.alive, true)
	}
	return simulation
}

// run simulates a span of time in which the store answers or not. It returns the largest number of calls in flight and the
// number of calls that were made.
func (s *coordinatorSimulation) run(span time.Duration, storeAnswers bool) (maxInFlight, calls int) {
	const step = 250 * time.Millisecond
	callsBefore := s.callCount
	for end := s.now + span; s.now < end; s.now += step {
		s.receiveUpdates()
		for member := range s.coordinators {
			if s.alive[member] {
				s.step(member, storeAnswers)
			}
		}
		maxInFlight = max(maxInFlight, s.inFlight)
	}
	return maxInFlight, s.callCount - callsBefore
}

// receiveUpdates delivers the updates that have arrived. It drops an update whose round is earlier than that of the last
// update from the same member, unless the state of the store differs.
func (s *coordinatorSimulation) receiveUpdates() {
	for len(s.updates) > 0 && s.updates[0].arrivesAt <= s.now {
		update := s.updates[0]
		s.updates = s.updates[1:]
		received := &s.received[update.to][update.from]
		if update.load.ProbeRound >= received.ProbeRound || update.load.StoreState != received.StoreState {
			*received = update.load
		}
	}
}

// step simulates one step of a member: the member ends calls, ticks, may publish its load, and makes calls.
func (s *coordinatorSimulation) step(member int, storeAnswers bool) {
	coordinator := s.coordinators[member]
	s.endCalls(member)
	before := coordinator.State()
	s.allowances[member] = coordinator.Tick(s.now, 9, s.view(member), s.now)
	if coordinator.State() != before || s.random.IntN(8) == 0 {
		s.publish(member)
	}
	s.startCalls(member, storeAnswers)
}

func (s *coordinatorSimulation) endCalls(member int) {
	unfinished := s.calls[member][:0]
	for _, call := range s.calls[member] {
		if call.endsAt > s.now {
			unfinished = append(unfinished, call)
			continue
		}
		s.inFlight--
		s.coordinators[member].RecordCall(call.ok)
	}
	s.calls[member] = unfinished
}

// startCalls makes as many calls as a busy member may make.
func (s *coordinatorSimulation) startCalls(member int, storeAnswers bool) {
	for len(s.calls[member]) < s.callLimit(member) {
		call := simulatedCall{s.now + 2*time.Second, false}
		if storeAnswers {
			call = simulatedCall{s.now + 50*time.Millisecond, true}
		}
		s.calls[member] = append(s.calls[member], call)
		s.inFlight++
		s.callCount++
	}
}

// callLimit returns the number of calls that a member may have in flight by its allowance.
func (s *coordinatorSimulation) callLimit(member int) int {
	switch s.allowances[member] {
	case AllowUnlimited:
		if s.coordinators[member].State() == StoreUnresponsive {
			return 1 // about what the member's circuit breaker admits
		}
		return 4
	case AllowCautious:
		return 4
	case AllowSingle:
		return 1
	case AllowNone:
	}
	return 0
}

// publish sends a member's load to all others. The updates arrive up to 1.5 s later, and one in 20 is lost.
func (s *coordinatorSimulation) publish(member int) {
	var load fleet.Load
	s.coordinators[member].AddToLoad(&load)
	if s.misreport != nil {
		s.misreport(member, &load)
	}
	arrivesAt := s.now + time.Duration(s.random.IntN(1500))*time.Millisecond
	position := len(s.updates)
	for position > 0 && s.updates[position-1].arrivesAt > arrivesAt {
		position--
	}
	var sent []loadUpdate
	for recipient := range s.coordinators {
		if recipient != member && s.random.IntN(20) > 0 {
			sent = append(sent, loadUpdate{arrivesAt, member, recipient, load})
		}
	}
	s.updates = append(s.updates[:position:position], append(sent, s.updates[position:]...)...)
}

// view returns the view of a member, by the updates that it has received.
func (s *coordinatorSimulation) view(observer int) *fleet.Snapshot {
	view := &fleet.Snapshot{At: s.now}
	for member, load := range s.received[observer] {
		liveness := fleet.Alive
		if !s.alive[member] {
			liveness = fleet.Unreachable
		}
		view.Members = append(view.Members, fleet.Member{
			Record: &fleet.Record{
				Name:  fmt.Sprint("n", member),
				Run:   uint64(member + 1),
				Zone:  "z",
				State: fleet.Serving,
				Load:  load,
			},
			Liveness:   liveness,
			Self:       member == observer,
			RecordedAt: s.now,
		})
	}
	return view
}

// kill ends the process and the calls of a member.
func (s *coordinatorSimulation) kill(member int) {
	s.alive[member] = false
	s.inFlight -= len(s.calls[member])
}

// count returns how many of the members that are alive consider the store to be in a state.
func (s *coordinatorSimulation) count(state StoreState) (members int) {
	for member, coordinator := range s.coordinators {
		if s.alive[member] && coordinator.State() == state {
			members++
		}
	}
	return members
}

// unhealthy returns how many of the members that are alive find that calls to the store fail.
func (s *coordinatorSimulation) unhealthy() int {
	return s.count(StoreUnresponsive) + s.count(StoreProbing)
}

// If every member probed a dead store, a large group would keep many calls in flight at it. At any group size, only a few
// probes may be in flight, even after the loss of the probing member. Once the store answers, members must return in steps.
func TestDeadStoreIsProbedInTurns(t *testing.T) {
	for _, members := range []int{3, 10, 50, 150} {
		simulation := newCoordinatorSimulation(members, uint64(members))
		simulation.run(5*time.Second, true)
		require.Equal(t, members, simulation.count(StoreHealthy))
		simulation.run(15*time.Second, false)
		require.Equal(t, members, simulation.unhealthy(), "%d members", members)
		maxInFlight, calls := simulation.run(20*time.Second, false)
		require.LessOrEqual(t, maxInFlight, 4, "%d members", members)
		require.Greater(t, calls, 3, "%d members: the store is probed", members)
		for member, coordinator := range simulation.coordinators {
			if coordinator.State() == StoreProbing && members > 3 {
				simulation.kill(member)
			}
		}
		maxInFlight, calls = simulation.run(20*time.Second, false)
		require.LessOrEqual(t, maxInFlight, 4, "%d members, probing member lost", members)
		require.Greater(t, calls, 3, "%d members: another member probes", members)
		maxInFlight, _ = simulation.run(time.Second, true)
		require.LessOrEqual(t, maxInFlight, 8, "%d members: they return in steps", members)
		simulation.run(25*time.Second, true)
		require.Zero(t, simulation.unhealthy(), "%d members", members)
		simulation.run(recoveringDuration+2*time.Second, true)
		require.Zero(t, simulation.count(StoreRecovering))
	}
}

// One member that misreports must not decide for its group. Each case is a false report: that a dead store has recovered, that a
// healthy one fails, that the member probes all the time, or a round that is out of range.
func TestMisreportingMemberIsContained(t *testing.T) {
	const members, misreporting = 30, 3
	for name, misreport := range map[string]func(load *fleet.Load){
		"recovering": func(load *fleet.Load) { load.StoreState = uint8(StoreRecovering) },
		"probing":    func(load *fleet.Load) { load.StoreState = uint8(StoreProbing) },
		"rounds":     func(load *fleet.Load) { load.StoreState, load.ProbeRound = uint8(StoreUnresponsive), 1<<63 },
		"failing":    func(load *fleet.Load) { load.StoreState = uint8(StoreUnresponsive) },
	} {
		simulation := newCoordinatorSimulation(members, 4)
		simulation.misreport = func(member int, load *fleet.Load) {
			if member == misreporting {
				misreport(load)
			}
		}
		simulation.run(10*time.Second, true)
		require.Equal(t, members, simulation.count(StoreHealthy), name)
		for member := range members {
			require.Equal(t, AllowUnlimited, simulation.allowances[member], name)
		}
		simulation.run(15*time.Second, false)
		maxInFlight, calls := simulation.run(30*time.Second, false)
		require.LessOrEqual(t, maxInFlight, 4+verifiersPerRecovery, name)
		require.Positive(t, calls, name)
		simulation.run(40*time.Second, true)
		require.Zero(t, simulation.unhealthy(), name)
	}
}

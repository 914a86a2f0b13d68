package fleetlab

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"falldeal/lab/clients"
	"falldeal/lab/fakes"
	"falldeal/lab/history"
	"falldeal/lab/workerpool"
)

// A store crashes after it has had more than storeCrashMultiple calls per slot in flight for storeCrashTolerance. It
// is then down for storeDowntime.
const (
	storeCrashMultiple  = 5
	storeCrashTolerance = 5 * time.Second
	storeDowntime       = 4 * time.Second
)

// startAnnounceService starts the fake announce service. Its goroutine ends when Close closes the socket.
func (l *Lab) startAnnounceService(ctx context.Context) error {
	conn, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", l.announceAddr())
	if err != nil {
		return fmt.Errorf("start announce service: %w", err)
	}
	l.closers = append(l.closers, conn)
	go func() { _ = l.Announce.Serve(conn) }()
	return nil
}

// startStore starts the fake store of the zone with the given index. Its goroutine ends when Close closes the
// listener.
func (l *Lab) startStore(ctx context.Context, zone int) error {
	ln, err := listenTCP(ctx, l.storeAddr(zone))
	if err != nil {
		return fmt.Errorf("start store of zone %s: %w", l.options.Zones[zone], err)
	}
	l.closers = append(l.closers, ln)
	name := l.options.Zones[zone]
	store := l.newStore(name)
	l.Stores[name] = store
	go func() { _ = store.Serve(ln) }()
	return nil
}

// newStore returns the fake store of a zone, which records its calls in the history.
func (l *Lab) newStore(zone string) *fakes.Store {
	slots := l.options.Slots
	log := func(kind history.Kind) func(id string, inFlight int) {
		return func(id string, inFlight int) {
			l.Log.Add(history.Event{Kind: kind, AttemptID: id, Server: zone, Count: inFlight})
		}
	}
	return &fakes.Store{
		Now:      l.Log.Now,
		CallWork: l.options.CallTime,
		Slots:    workerpool.NewPool(workerpool.StoreCurve(slots), l.Log.Now()),
		Crash: workerpool.CrashModel{
			MaxInFlight: storeCrashMultiple * slots,
			Tolerance:   storeCrashTolerance,
			Downtime:    storeDowntime,
		},
		OnCallStarted: log(history.CallStarted),
		OnCallEnded:   log(history.CallEnded),
	}
}

// newAgent returns the fake agent for the member's next process. The agent of the first process starts warmed up;
// later ones start cold.
func (m *Member) newAgent() *fakes.Agent {
	log := m.lab.Log
	curve := workerpool.AgentCurve(m.lab.options.Cores, workerpool.CoreSpeed(m.number))
	state := "steady"
	if m.starts > 0 {
		state = "booting"
		curve.WarmupTime = m.lab.options.WarmupTime
	}
	return &fakes.Agent{
		State:   state,
		Now:     log.Now,
		Cores:   workerpool.NewPool(curve, log.Now()),
		PlanRun: planRun,
		OnRunStarted: func(l fakes.Launch) {
			log.Add(history.Event{Kind: history.RunStarted, AttemptID: l.RequestID, Class: l.Class, Server: m.Name})
		},
		OnRunEnded: func(l fakes.Launch, result fakes.RunResult) {
			log.Add(history.Event{
				Kind: history.RunEnded, AttemptID: l.RequestID, Class: l.Class, Server: m.Name, Detail: string(result),
			})
		},
	}
}

// planRun returns the plan of a run. Its work, in ns, is the body of the launch: package clients encodes it there.
func planRun(launch fakes.Launch) fakes.RunPlan {
	work, err := strconv.ParseInt(string(launch.Body), 10, 64)
	if err != nil {
		work = 0
	}
	plan := fakes.RunPlan{Work: time.Duration(work)}
	if callsStore(launch.Class) {
		plan.Call = []byte("SELECT " + launch.RequestID)
	}
	return plan
}

// TotalCores returns the work that all agents together do per second, in seconds on a core of speed 1.
func (l *Lab) TotalCores() float64 { return workerpool.TotalCores(len(l.Members), l.options.Cores) }

// Capacity returns how many requests per second all agents together can read and run, not counting calls to the
// stores.
func (l *Lab) Capacity() float64 { return clients.Capacity(l.TotalCores(), l.options.Classes) }

// ReadRequest makes the agent of a member spend the work of reading one request. The returned channel is closed when
// the request has been read. It is nil if the member has no running process.
func (l *Lab) ReadRequest(server string) <-chan struct{} {
	agent := l.runningAgent(server)
	if agent == nil {
		return nil
	}
	return agent.ReadRequest(clients.ReadWork(l.options.Classes), l.options.Cores)
}

// CompleteAttempt tells the agent of a member that an attempt was answered or abandoned.
func (l *Lab) CompleteAttempt(server, attemptID string) {
	if agent := l.runningAgent(server); agent != nil {
		agent.CompleteRequest(attemptID)
	}
}

// runningAgent returns the agent of a member, or nil if the member has no running process.
func (l *Lab) runningAgent(server string) *fakes.Agent {
	member := l.FindMember(server)
	member.mu.Lock()
	defer member.mu.Unlock()
	if member.cmd == nil {
		return nil
	}
	return member.agent
}

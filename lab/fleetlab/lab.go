// Package fleetlab starts fleets of real processes of the shipped program on loopback, with stand-ins for all that they
// talk to, and breaks what lies between them (package faults). Each process has addresses of its own in 127.0.0.0/8.
//
// What it leaves out: a machine for each instance (all share this one's cores, so that a large fleet is slow of its
// own) and the network's bandwidth. A loop that stands still and a clock that is off are the program's own drills.
package fleetlab

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"falldeal/internal/fleet"
	"falldeal/lab/clients"
	"falldeal/lab/fakes"
	"falldeal/lab/faults"
	"falldeal/lab/history"
	"falldeal/lab/workerpool"
)

// Options say what to start.
type Options struct {
	Binary            string // the program; what it needs beside it is there
	Dir               string // for files of the processes; made if it is not there
	Members           int
	Zones             []string // members are spread over them in turn
	Region            string
	Seed              uint64
	ProbeInterval     time.Duration
	Encrypted         bool // the fleet's words are encrypted
	QuotaLeasing      bool // shares of the store move between members
	Shedding          bool // what the fleet has no room for is refused by all alike
	CoordinatedProbes bool // a store that does not answer is tried by turns
	LogLevel          string

	Cores      int           // of each agent; every other member's are slower
	WarmupTime time.Duration // of an agent that has just started
	Slots      int           // of the store of each zone
	CallTime   time.Duration // of a call in a slot
	Classes    []clients.Class
}

// Defaults are options of a small fleet in three zones.
func Defaults() Options {
	return Options{Members: 6, Zones: []string{"brussel-noord", "zaventem", "mechelen"}, Region: "belgium", Seed: 1,
		ProbeInterval: 500 * time.Millisecond, LogLevel: "info", Cores: 4, WarmupTime: 4 * time.Second, Slots: 16, CallTime: 30 * time.Millisecond,
		Classes: []clients.Class{
			{Name: "preview", ArrivalRatio: 0.6, MeanWork: 40 * time.Millisecond, Timeout: 4 * time.Second, LatencyObjective: 1900 * time.Millisecond, Value: 1, DegradedValueRatio: 0.6},
			{Name: "hires-crop", ArrivalRatio: 0.3, MeanWork: 90 * time.Millisecond, Timeout: 4 * time.Second, LatencyObjective: 1900 * time.Millisecond, Value: 2},
			{Name: "licence-order", ArrivalRatio: 0.1, MeanWork: 60 * time.Millisecond, Timeout: 4 * time.Second, LatencyObjective: 1900 * time.Millisecond, Value: 3, IdempotentByKey: true}}}
}

// A store falls when it has that many times its slots in hand for so long, and is down for a while.
const (
	storeCrashMultiple  = 5
	storeCrashTolerance = 5 * time.Second
	storeDowntime       = 4 * time.Second
)

// IdempotencyWindow is within which an order must not run again; it stands in the servers' settings.
const IdempotencyWindow = 17457 * time.Millisecond

// Lab is a fleet of processes and what is round it.
type Lab struct {
	Log      *history.Log
	Relay    *faults.Relay
	Members  []*Member
	Announce *fakes.AnnounceService
	Stores   map[string]*fakes.Store // by zone

	options Options
	subnet  int // second part of all addresses
	guard   net.Listener
	closers []io.Closer
	key     string

	mu        sync.Mutex
	script    *faults.Script
	started   map[int]bool // faults of the script that were begun, and ended
	ended     map[int]bool
	snapshots []registrySnapshot
}

type registrySnapshot struct {
	at    time.Duration
	names []string
}

// Member is one instance and, while it runs, its process.
type Member struct {
	Name, Zone                                           string
	FrontAddr, ConsoleAddr, GossipAddr, GossipListenAddr string // addresses: for front ends, operators, others (advertised), and where it listens for them

	lab           *Lab
	dir           string
	agentAddr     string
	mu            sync.Mutex
	cmd           *exec.Cmd
	agent         *fakes.Agent
	agentListener net.Listener
	exited        chan struct{}
	starts        int
	clockSkew     time.Duration // that its next process takes the system's clock to be off by
}

// wedgeTime is for how long a loop stands still that is told to.
const wedgeTime = 15 * time.Second

// New prepares a fleet; no process runs before Start.
func New(options Options) (*Lab, error) {
	if err := os.MkdirAll(options.Dir, 0o755); err != nil {
		return nil, err
	}
	created := &Lab{Log: history.NewLog(), Relay: faults.NewRelay(options.Seed), Announce: &fakes.AnnounceService{}, Stores: map[string]*fakes.Store{},
		options: options, started: map[int]bool{}, ended: map[int]bool{}, script: &faults.Script{}}
	if err := created.reserveSubnet(); err != nil {
		return nil, err
	}
	if err := created.startDependencies(); err != nil {
		created.Close()
		return nil, err
	}
	return created, nil
}

// reserveSubnet finds a part of loopback that no other laboratory uses now.
func (l *Lab) reserveSubnet() (err error) {
	for range 200 {
		l.subnet = 16 + rand.IntN(230)
		if l.guard, err = net.Listen("tcp", l.addr(255, 254, 7000)); err == nil {
			l.closers = append(l.closers, l.guard)
			return nil
		}
	}
	return fmt.Errorf("no part of loopback is free: %w", err)
}

func (l *Lab) addr(c, d, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", l.subnet, c, d, port)
}

func (l *Lab) startDependencies() error {
	at := l.addr(200, 1, 8761)
	conn, err := net.ListenPacket("udp", at)
	if err != nil {
		return err
	}
	l.closers = append(l.closers, conn)
	go func() { _ = l.Announce.Serve(conn) }()
	for z, zone := range l.options.Zones {
		ln, err := net.Listen("tcp", l.storeAddr(z))
		if err != nil {
			return err
		}
		l.closers = append(l.closers, ln)
		s := &fakes.Store{Now: l.Log.Now, CallWork: l.options.CallTime, Crash: workerpool.CrashModel{MaxInFlight: storeCrashMultiple * l.options.Slots, Tolerance: storeCrashTolerance, Downtime: storeDowntime},
			Slots: workerpool.NewPool(workerpool.Curve{Workers: l.options.Slots, Speed: 1, Knee: 1,
				SlowdownPerExcess: 0.2, MinSpeedRatio: 0.3}, l.Log.Now())}
		s.OnCallStarted = func(id string, n int) {
			l.Log.Add(history.Event{Kind: history.CallStarted, AttemptID: id, Server: zone, Count: n})
		}
		s.OnCallEnded = func(id string, n int) {
			l.Log.Add(history.Event{Kind: history.CallEnded, AttemptID: id, Server: zone, Count: n})
		}
		l.Stores[zone] = s
		go func() { _ = s.Serve(ln) }()
	}
	if l.options.Encrypted {
		key := make([]byte, 32)
		r := rand.New(rand.NewPCG(l.options.Seed, 9))
		for i := range key {
			key[i] = byte(r.Uint32())
		}
		l.key = hex.EncodeToString(key)
	}
	for i := range l.options.Members {
		z := i % len(l.options.Zones)
		c, d := 10+z, 1+i/len(l.options.Zones)
		m := &Member{Name: "n" + strconv.Itoa(i), Zone: l.options.Zones[z], lab: l, FrontAddr: l.addr(c, d, 5050), ConsoleAddr: l.addr(c, d, 5051),
			GossipListenAddr: l.addr(c, d, 7946), GossipAddr: l.addr(c+100, d, 7946), agentAddr: l.addr(c+50, d, 4400), dir: filepath.Join(l.options.Dir, "n"+strconv.Itoa(i))}
		l.Members = append(l.Members, m)
		if err := l.Relay.Add(m.Name, m.GossipAddr, m.GossipListenAddr); err != nil {
			return err
		}
		if err := m.writeFiles(z); err != nil {
			return err
		}
	}
	return nil
}

func (l *Lab) storeAddr(z int) string { return l.addr(201, 1+z, 8900) }

// writeFiles writes what the process is started with.
func (m *Member) writeFiles(z int) error {
	if err := os.MkdirAll(m.dir, 0o755); err != nil {
		return err
	}
	l, o := m.lab, &m.lab.options
	var lanes, calls, skips []string
	for _, c := range o.Classes {
		safety, ttl := "safe", 5*time.Second
		if c.IdempotentByKey {
			safety, ttl = "keyed", IdempotencyWindow
		}
		lanes = append(lanes, fmt.Sprintf(`{"Name":%q,"AimUs":%d,"DeadlineUs":%d,"Idempotency":%q,"KeyTtlUs":%d,"LateWorth":0,"Value":%g}`,
			c.Name, c.LatencyObjective.Microseconds(), c.Timeout.Microseconds(), safety, ttl.Microseconds(), c.Value))
		calls = append(calls, strconv.FormatBool(c.Name != "hires-crop"))
		skips = append(skips, map[bool]string{true: "0.6", false: "0"}[c.Name == "preview"])
	}
	perServer := float64(o.Slots*len(o.Zones)) / float64(o.Members)
	config := fmt.Sprintf(`{"name":%q,"listen":%q,"agent":%q,"announce":%q,"store":%q,"console":%q,"seed":"%x","stop_ms":3200,
"limits":{"cores":1.0,"memory_mb":64,"sockets":1024},
"settings":{"FleetSize":%d,"TickUs":5000,"OverShareWorth":0.1,"ValueBy":"request","ClientHabits":{"MarksRetry":false},
"FamilyInfo":{"Advert":"off","Below":"shared","Blowup":8.0,"CallsByClass":[%s],"CallsOut":%.3f,"CallsOverUs":5000000,
"ClassSkipWorth":[%s],"ClientsTotal":8,"Cold":false,"Cpus":%d,"FreshForUs":0,"Gauges":["core_use","on_cores","heap_share","links"],
"Halt":"off","IdleUs":30000000,"KbPerKey":4,"ListFollows":true,"MemoryKb":60000,"PassesDeadline":true,"StaysForUs":200000,"TellsGone":true},
"Invariants":{"ColdShare":0.25,"ColdUs":%d,"FallMultiple":5.0,"FallUs":3000000,"GraceToAnswerUs":100000,"StopSendingWithinUs":2500000},
"Lanes":[%s],"Limits":{"MaxRetryAfterUs":1000000,"RetryAfter":true},
"ResultMix":{"Whole":0.45,"WorstClass":0.2,"WorstTenant":0,"WorstWindow":0.35},"Tenants":[]}}`,
		m.Name, m.FrontAddr, m.agentAddr, l.addr(200, 1, 8761), l.storeAddr(z), m.ConsoleAddr, o.Seed+uint64(len(l.Members)), o.Members,
		strings.Join(calls, ","), perServer, strings.Join(skips, ","), o.Cores, o.WarmupTime.Microseconds(), strings.Join(lanes, ","))
	if err := os.WriteFile(filepath.Join(m.dir, "config.json"), []byte(config), 0o600); err != nil {
		return err
	}
	return m.WriteOperatorsFile(l.key)
}

// WriteOperatorsFile writes the operators' file, with the fleet's key if there is one; the process reads it at its next
// start or SIGHUP.
func (m *Member) WriteOperatorsFile(keys ...string) error {
	l := m.lab
	var seeds []string
	for i := range min(len(l.options.Zones), l.options.Members) { // one in each zone
		z := i % len(l.options.Zones)
		seeds = append(seeds, strconv.Quote(l.addr(110+z, 1+i/len(l.options.Zones), 7946)))
	}
	text := fmt.Sprintf("[fleet]\nlisten = %q\nadvertise = %q\nseeds = [%s]\nregion = %q\nzone = %q\nsize = %d\nprobe_every = %q\n",
		m.GossipListenAddr, m.GossipAddr, strings.Join(seeds, ", "), l.options.Region, m.Zone, l.options.Members, l.options.ProbeInterval)
	if len(keys) > 0 && keys[0] != "" {
		if err := os.WriteFile(filepath.Join(m.dir, "fleet.key"), []byte(strings.Join(keys, "\n")+"\n"), 0o600); err != nil {
			return err
		}
		text += "key_file = \"fleet.key\"\n"
	}
	text += fmt.Sprintf("[overload]\nshares = %t\ncutoff = %t\nprobes = %t\n", l.options.QuotaLeasing, l.options.Shedding, l.options.CoordinatedProbes)
	text += fmt.Sprintf("[drill]\nclock = %q\nwedge = %q\n", m.clockSkew, wedgeTime)
	return os.WriteFile(filepath.Join(m.dir, "operators.toml"), []byte(text), 0o600)
}

// Key is the fleet's key, in hex digits; empty without one.
func (l *Lab) Key() string { return l.key }

// Place says where members are, for scripts.
func (l *Lab) Locations() (places []faults.Location) {
	for _, m := range l.Members {
		places = append(places, faults.Location{Name: m.Name, Zone: m.Zone, Region: l.options.Region})
	}
	return places
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

// Start starts a process of the member, and its agent with it.
func (m *Member) Start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		return fmt.Errorf("%s runs already", m.Name)
	}
	ln, err := net.Listen("tcp", m.agentAddr)
	if err != nil {
		return err
	}
	l, o := m.lab, &m.lab.options
	number, _ := strconv.Atoi(m.Name[1:])
	state := "steady"
	if m.starts > 0 {
		state = "booting"
	}
	curve := workerpool.Curve{Workers: o.Cores, Speed: coreSpeed(number), Knee: 2, SlowdownPerExcess: 0.1, MinSpeedRatio: 0.4, ColdSpeedRatio: 0.25}
	if state == "booting" {
		curve.WarmupTime = o.WarmupTime
	}
	m.agent = &fakes.Agent{State: state, Now: l.Log.Now, Cores: workerpool.NewPool(curve, l.Log.Now()), PlanRun: func(x fakes.Launch) fakes.RunPlan {
		work, _ := strconv.ParseInt(string(x.Body), 10, 64)
		p := fakes.RunPlan{Work: time.Duration(work)}
		if x.Class != "hires-crop" {
			p.Call = []byte("SELECT " + x.RequestID)
		}
		return p
	}}
	m.agent.OnRunStarted = func(x fakes.Launch) {
		l.Log.Add(history.Event{Kind: history.RunStarted, AttemptID: x.RequestID, Class: x.Class, Server: m.Name})
	}
	m.agent.OnRunEnded = func(x fakes.Launch, result fakes.RunResult) {
		l.Log.Add(history.Event{Kind: history.RunEnded, AttemptID: x.RequestID, Class: x.Class, Server: m.Name, Detail: string(result)})
	}
	m.agentListener = ln
	go func() { _ = m.agent.Serve(ln) }()
	out, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		ln.Close()
		return err
	}
	defer out.Close()
	cmd := exec.Command(o.Binary, "serve", "--config", filepath.Join(m.dir, "config.json"), "--operators",
		filepath.Join(m.dir, "operators.toml"), "--log-level", o.LogLevel)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), "GW_NAME=", "GW_LISTEN=", "GW_CONSOLE=", "GW_CONFIG=", "GW_INHERITED_FD=")
	if err := cmd.Start(); err != nil {
		ln.Close()
		return err
	}
	m.starts++
	m.cmd, m.exited = cmd, make(chan struct{})
	l.Log.Add(history.Event{Kind: history.ProcessChanged, Server: m.Name, Detail: "started", Count: cmd.Process.Pid})
	go m.awaitExit(cmd, ln, m.exited)
	return nil
}

func (m *Member) awaitExit(cmd *exec.Cmd, ln net.Listener, ended chan struct{}) {
	err := cmd.Wait()
	word := "ended"
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() > 0 {
		word = "failed" // by itself: the log of the process says why
	}
	m.mu.Lock()
	m.cmd = nil
	m.mu.Unlock()
	ln.Close()
	m.agent.Disconnect()
	m.lab.Log.Add(history.Event{Kind: history.ProcessChanged, Server: m.Name, Detail: word})
	close(ended)
}

// Signal sends a signal to the member's process, if there is one.
func (m *Member) Signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	word := map[syscall.Signal]string{syscall.SIGKILL: "killed", syscall.SIGSTOP: "stopped", syscall.SIGCONT: "continued",
		syscall.SIGTERM: "told to end", syscall.SIGHUP: "reloads"}[sig]
	m.lab.Log.Add(history.Event{Kind: history.ProcessChanged, Server: m.Name, Detail: word})
	_ = m.cmd.Process.Signal(sig)
}

// Kill kills the process, and waits for its end.
func (m *Member) Kill() {
	m.Signal(syscall.SIGKILL)
	m.Wait()
}

// Wait waits for the end of the process, if there is one.
func (m *Member) Wait() {
	m.mu.Lock()
	ended := m.exited
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// Running reports whether a process runs.
func (m *Member) Running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd != nil
}

// PID is the number of the process; 0 = none.
func (m *Member) PID() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	return m.cmd.Process.Pid
}

var consoleClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// FleetReport asks the process what it knows of its fleet.
func (m *Member) FleetReport() (r fleet.Report, err error) {
	res, err := consoleClient.Get("http://" + m.ConsoleAddr + "/fleet")
	if err != nil {
		return r, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return r, fmt.Errorf("%s: %s", m.Name, res.Status)
	}
	return r, json.NewDecoder(res.Body).Decode(&r)
}

// WatchViews asks all running members for their views, and notes what they say of others, until ctx ends.
func (l *Lab) WatchViews(ctx context.Context, every time.Duration) {
	said := map[[2]string]string{}
	for ctx.Err() == nil {
		for _, m := range l.Members {
			if !m.Running() {
				continue
			}
			r, err := m.FleetReport()
			if err != nil {
				continue // stopped, or at its end
			}
			for _, x := range r.Members {
				if at := [2]string{m.Name, x.Name}; said[at] != x.Condition {
					said[at] = x.Condition
					l.Log.Add(history.Event{Kind: history.ViewChanged, Server: m.Name, Member: x.Name, Detail: x.Condition})
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(every):
		}
	}
}

// Servers is the list that front ends have, which lags by so much.
func (l *Lab) Servers(lag time.Duration) clients.ServerLister {
	return func() []clients.Server {
		l.mu.Lock()
		defer l.mu.Unlock()
		now := l.Log.Now()
		if n := len(l.snapshots); n == 0 || now-l.snapshots[n-1].at > 100*time.Millisecond {
			l.snapshots = append(l.snapshots, registrySnapshot{now, l.Announce.AcceptingServers()})
		}
		for len(l.snapshots) > 1 && l.snapshots[1].at <= now-lag {
			l.snapshots = l.snapshots[1:]
		}
		var all []clients.Server
		for _, name := range l.snapshots[0].names {
			if m := l.FindMember(name); m != nil {
				all = append(all, clients.Server{Name: name, Addr: m.FrontAddr})
			}
		}
		return all
	}
}

// Close ends all processes and stand-ins.
func (l *Lab) Close() {
	for _, m := range l.Members {
		m.Signal(syscall.SIGKILL) // also of one that is stopped
	}
	for _, m := range l.Members {
		m.Wait()
	}
	l.Relay.Close()
	for _, c := range l.closers {
		c.Close()
	}
}

// Capacity is how many requests a second all agents together can read and do, calls not counted.
func (l *Lab) Capacity() float64 {
	return l.TotalCores() / ((1 + history.ReadCostRatio) * l.meanWork().Seconds())
}

// ReadRequest has the agent of a member read a request; the channel is closed when it has. Nil: no process is there.
func (l *Lab) ReadRequest(server string) <-chan struct{} {
	a := l.runningAgent(server)
	if a == nil {
		return nil
	}
	return a.ReadRequest(time.Duration(history.ReadCostRatio*float64(l.meanWork())), l.options.Cores)
}

// CompleteAttempt has the agent of a member know that a try is over.
func (l *Lab) CompleteAttempt(server, try string) {
	if a := l.runningAgent(server); a != nil {
		a.CompleteRequest(try)
	}
}

// runningAgent is the agent of a member whose process runs; nil without one.
func (l *Lab) runningAgent(server string) *fakes.Agent {
	m := l.FindMember(server)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return nil
	}
	return m.agent
}

func (l *Lab) meanWork() (work time.Duration) {
	for _, c := range l.options.Classes {
		work += time.Duration(c.ArrivalRatio * float64(c.MeanWork))
	}
	return work
}

// TotalCores is what all agents together do in a second, in seconds of work.
func (l *Lab) TotalCores() (cores float64) {
	for i := range l.Members {
		cores += float64(l.options.Cores) * coreSpeed(i)
	}
	return cores
}

// coreSpeed tells the two kinds of machines apart.
func coreSpeed(i int) float64 { return []float64{1, 0.7}[i%2] }

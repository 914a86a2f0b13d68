// Package fakes plays the parties that an image server talks to, on loopback, as the protocol page describes
// them: the render farm agent, the store and the announce service. They are for the laboratory and for tests;
// nothing that serves imports them. Without a pool of package plant a run takes the time it is told to.
package fakes

import (
	"bufio"
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"time"

	"falldeal/lab/workerpool"
)

// notificationBacklog is how many notices an agent remembers for links that come back; protocol.
const notificationBacklog = 4000

// DegradedResult is the result of a run that went on without its call.
const DegradedResult = "without its call"

// Launch is a run that an agent is asked for.
type Launch struct {
	RequestID, Class string
	Body             []byte
}

// RunPlan says what becomes of a run.
type RunPlan struct {
	Work   time.Duration // from the launch to the end, calls not counted; 0 = at once
	Call   []byte        // body of a call that the run makes first; nil = none
	Result string        // success, failure, interrupted or nothing; "" = success with the body of the launch
}

// Agent is a render farm agent. Its fields are set before Serve; Serve may be called from any goroutine, and
// so may Breaks and Runs.
type Agent struct {
	State   string                 // of the greeting: booting or steady
	Age     time.Duration          // of the agent, as the greeting tells it
	Load    [4]float64             // what samples are answered with
	PlanRun func(l Launch) RunPlan // nil: every run succeeds at once without a call
	Ready   <-chan struct{}        // the greeting waits for it; nil: it does not

	Cores        *workerpool.Pool     // runs share it, and samples tell of it; nil: they do not
	Now          func() time.Duration // its clock
	OnRunStarted func(l Launch)       // called as a run begins, and Ended as it ends; they must not call back
	OnRunEnded   func(l Launch, result string)

	mu      sync.Mutex
	encoder *json.Encoder // of the newest link; nil while there is none
	conn    net.Conn
	offset  int
	backlog []notification // the last ones, in order
	runs    map[string]*run
	timer   *time.Timer // at which runs in the pool end

	readQueue   []*pendingRead // in order
	activeReads map[string]*pendingRead
	maxReads    int
	readCount   int
}

type run struct {
	launch       Launch
	plan         RunPlan
	completed    bool
	awaitingCall bool // for the reply to its call
}

type notification struct {
	Cmd     string    `json:"cmd"`
	Offset  int       `json:"offset,omitempty"`
	Req     string    `json:"req,omitempty"`
	Token   string    `json:"token,omitempty"`
	Result  string    `json:"result,omitempty"`
	Elapsed float64   `json:"elapsed_ms,omitempty"`
	Load    []float64 `json:"load,omitempty"`
	Payload []byte    `json:"payload,omitempty"`
}

type command struct {
	Cmd     string `json:"cmd"`
	Req     string `json:"req"`
	Method  string `json:"method"`
	Token   string `json:"token"`
	Offset  int    `json:"offset"`
	Payload []byte `json:"payload"`
}

// Serve accepts links until ln is closed.
func (a *Agent) Serve(ln net.Listener) error { return accept(ln, a.handleConn) }

// accept has each connection read by a goroutine of its own, until ln is closed.
func accept(ln net.Listener, handle func(net.Conn)) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go handle(conn)
	}
}

func (a *Agent) handleConn(conn net.Conn) {
	defer conn.Close()
	decoder := json.NewDecoder(bufio.NewReader(conn))
	for {
		var cmd command
		if decoder.Decode(&cmd) != nil {
			return // also for what is no command
		}
		if cmd.Cmd == "subscribe" && a.Ready != nil {
			<-a.Ready
		}
		a.mu.Lock()
		a.handleCommand(conn, cmd)
		a.mu.Unlock()
	}
}

// Disconnect closes the link, as a fault does; the next one finds all notices that it asks for.
func (a *Agent) Disconnect() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.conn.Close()
	}
}

// RunsStarted is how many runs were begun.
func (a *Agent) RunsStarted() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.runs)
}

func (a *Agent) handleCommand(conn net.Conn, cmd command) {
	if cmd.Cmd == "subscribe" {
		if a.runs == nil {
			a.runs = map[string]*run{}
		}
		a.conn, a.encoder = conn, json.NewEncoder(conn)
		a.send(notification{Cmd: "greeting", Result: a.State, Elapsed: float64(a.Age.Milliseconds())})
		for _, n := range a.backlog {
			if n.Offset > cmd.Offset {
				a.send(n)
			}
		}
		return
	}
	if conn != a.conn {
		return // a newer link has replaced this one
	}
	switch target := a.runs[cmd.Req]; cmd.Cmd {
	case "sample":
		if a.Cores != nil {
			a.advance()
			a.Load = [4]float64{a.Cores.Utilization(), float64(a.Cores.InFlight()), 0.1, 10}
		}
		a.send(notification{Cmd: "sampled", Token: cmd.Token, Load: a.Load[:]})
	case "exercise":
		a.send(notification{Cmd: "exercised", Token: cmd.Token, Result: "success"})
	case "launch":
		if target == nil {
			a.startRun(&run{launch: Launch{cmd.Req, cmd.Method, cmd.Payload}})
		}
	case "deliver", "forgo":
		if target != nil && target.awaitingCall {
			target.awaitingCall = false
			if cmd.Cmd == "forgo" {
				target.launch.Body = []byte(DegradedResult)
			}
			a.execute(target)
		}
	default:
		conn.Close() // protocol: what is no command ends the link
	}
}

func (a *Agent) startRun(started *run) {
	a.runs[started.launch.RequestID] = started
	if a.OnRunStarted != nil {
		a.OnRunStarted(started.launch)
	}
	if a.PlanRun != nil {
		started.plan = a.PlanRun(started.launch)
	}
	if started.plan.Call == nil {
		a.execute(started)
		return
	}
	started.awaitingCall = true
	a.publish(notification{Cmd: "request", Req: started.launch.RequestID, Payload: started.plan.Call})
}

func (a *Agent) execute(ready *run) {
	if ready.plan.Work <= 0 {
		a.finishRun(ready)
		return
	}
	if a.Cores != nil {
		a.advance()
		a.Cores.Add(ready.launch.RequestID, ready.plan.Work)
		a.scheduleAdvance()
		return
	}
	time.AfterFunc(ready.plan.Work, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.finishRun(ready)
	})
}

// advance brings the pool to the present, and ends the runs that are over.
func (a *Agent) advance() {
	for _, id := range a.Cores.Advance(a.Now()) {
		if r := a.activeReads[id]; r != nil {
			delete(a.activeReads, id)
			close(r.done)
			continue
		}
		a.finishRun(a.runs[id])
	}
	a.startReads()
}

// scheduleAdvance has the pool looked at when its next run ends.
func (a *Agent) scheduleAdvance() {
	if a.timer != nil {
		a.timer.Stop()
	}
	if at, ok := a.Cores.NextCompletion(); ok {
		a.timer = time.AfterFunc(at-a.Now(), func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.advance()
			a.scheduleAdvance()
		})
	}
}

// ReadRequest has the cores read a request, which is work that is no run; most is how many are read at a time, and the others
// wait in turn. The channel is closed when it has been read.
func (a *Agent) ReadRequest(work time.Duration, limit int) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance()
	a.readCount++
	r := &pendingRead{id: readIDPrefix + strconv.Itoa(a.readCount), work: work, done: make(chan struct{})}
	a.readQueue = append(a.readQueue, r)
	a.maxReads = limit
	a.startReads()
	a.scheduleAdvance()
	return r.done
}

// readIDPrefix begins the names of work in the pool that is no run.
const readIDPrefix = "read "

type pendingRead struct {
	id   string
	work time.Duration
	done chan struct{}
}

func (a *Agent) startReads() {
	for len(a.readQueue) > 0 && len(a.activeReads) < a.maxReads {
		if a.activeReads == nil {
			a.activeReads = map[string]*pendingRead{}
		}
		r := a.readQueue[0]
		a.readQueue = a.readQueue[1:]
		a.activeReads[r.id] = r
		a.Cores.Add(r.id, r.work)
	}
}

// CompleteRequest tells that a request has its final answer, or that nobody waits for one: a run of it ends at its call, as
// interrupted.
func (a *Agent) CompleteRequest(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.runs[id]; r != nil && r.awaitingCall {
		r.awaitingCall = false
		r.plan.Result = "interrupted"
		a.finishRun(r)
	}
}

// SetSlowdown has the cores be so many times slower than they are.
func (a *Agent) SetSlowdown(factor float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance()
	a.Cores.SetSlowdown(a.Now(), factor)
	a.scheduleAdvance()
}

func (a *Agent) finishRun(finished *run) {
	if finished.completed {
		return
	}
	outcome := notification{Cmd: "outcome", Req: finished.launch.RequestID, Result: finished.plan.Result, Elapsed: float64(finished.plan.Work.Milliseconds())}
	if outcome.Result == "" {
		outcome.Result, outcome.Payload = "success", finished.launch.Body
	}
	if a.OnRunEnded != nil {
		a.OnRunEnded(finished.launch, outcome.Result)
	}
	finished.completed, finished.launch.Body = true, nil
	a.publish(outcome)
}

// publish gives a notice its place, keeps it and tells it.
func (a *Agent) publish(event notification) {
	a.offset++
	event.Offset = a.offset
	a.backlog = append(a.backlog, event)
	if len(a.backlog) > notificationBacklog {
		a.backlog = a.backlog[len(a.backlog)-notificationBacklog:]
	}
	a.send(event)
}

// send writes a notice; what a broken link loses comes again on the next.
func (a *Agent) send(n notification) {
	if a.encoder != nil {
		_ = a.encoder.Encode(n)
	}
}

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

// noticesKept is how many notices an agent remembers for links that come back; protocol.
const noticesKept = 4000

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
	link    *json.Encoder // of the newest link; nil while there is none
	conn    net.Conn
	offset  int
	notices []notice // the last ones, in order
	runs    map[string]*run
	timer   *time.Timer // at which runs in the pool end

	unread    []*read // in order
	reading   map[string]*read
	mostReads int
	reads     int
}

type run struct {
	launch  Launch
	plan    RunPlan
	over    bool
	waiting bool // for the reply to its call
}

type notice struct {
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
func (a *Agent) Serve(ln net.Listener) error { return accept(ln, a.read) }

// accept has each connection read by a goroutine of its own, until ln is closed.
func accept(ln net.Listener, read func(net.Conn)) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return err
		}
		go read(nc)
	}
}

func (a *Agent) read(nc net.Conn) {
	defer nc.Close()
	in := json.NewDecoder(bufio.NewReader(nc))
	for {
		var c command
		if in.Decode(&c) != nil {
			return // also for what is no command
		}
		if c.Cmd == "subscribe" && a.Ready != nil {
			<-a.Ready
		}
		a.mu.Lock()
		a.command(nc, c)
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

func (a *Agent) command(nc net.Conn, c command) {
	if c.Cmd == "subscribe" {
		if a.runs == nil {
			a.runs = map[string]*run{}
		}
		a.conn, a.link = nc, json.NewEncoder(nc)
		a.say(notice{Cmd: "greeting", Result: a.State, Elapsed: float64(a.Age.Milliseconds())})
		for _, n := range a.notices {
			if n.Offset > c.Offset {
				a.say(n)
			}
		}
		return
	}
	if nc != a.conn {
		return // a newer link has replaced this one
	}
	switch r := a.runs[c.Req]; c.Cmd {
	case "sample":
		if a.Cores != nil {
			a.advance()
			a.Load = [4]float64{a.Cores.Utilization(), float64(a.Cores.InFlight()), 0.1, 10}
		}
		a.say(notice{Cmd: "sampled", Token: c.Token, Load: a.Load[:]})
	case "exercise":
		a.say(notice{Cmd: "exercised", Token: c.Token, Result: "success"})
	case "launch":
		if r == nil {
			a.begin(&run{launch: Launch{c.Req, c.Method, c.Payload}})
		}
	case "deliver", "forgo":
		if r != nil && r.waiting {
			r.waiting = false
			if c.Cmd == "forgo" {
				r.launch.Body = []byte(DegradedResult)
			}
			a.work(r)
		}
	default:
		nc.Close() // protocol: what is no command ends the link
	}
}

func (a *Agent) begin(r *run) {
	a.runs[r.launch.RequestID] = r
	if a.OnRunStarted != nil {
		a.OnRunStarted(r.launch)
	}
	if a.PlanRun != nil {
		r.plan = a.PlanRun(r.launch)
	}
	if r.plan.Call == nil {
		a.work(r)
		return
	}
	r.waiting = true
	a.number(notice{Cmd: "request", Req: r.launch.RequestID, Payload: r.plan.Call})
}

func (a *Agent) work(r *run) {
	if r.plan.Work <= 0 {
		a.end(r)
		return
	}
	if a.Cores != nil {
		a.advance()
		a.Cores.Add(r.launch.RequestID, r.plan.Work)
		a.arm()
		return
	}
	time.AfterFunc(r.plan.Work, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.end(r)
	})
}

// advance brings the pool to the present, and ends the runs that are over.
func (a *Agent) advance() {
	for _, id := range a.Cores.Advance(a.Now()) {
		if r := a.reading[id]; r != nil {
			delete(a.reading, id)
			close(r.over)
			continue
		}
		a.end(a.runs[id])
	}
	a.readNext()
}

// arm has the pool looked at when its next run ends.
func (a *Agent) arm() {
	if a.timer != nil {
		a.timer.Stop()
	}
	if at, ok := a.Cores.NextCompletion(); ok {
		a.timer = time.AfterFunc(at-a.Now(), func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.advance()
			a.arm()
		})
	}
}

// ReadRequest has the cores read a request, which is work that is no run; most is how many are read at a time, and the others
// wait in turn. The channel is closed when it has been read.
func (a *Agent) ReadRequest(work time.Duration, most int) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance()
	a.reads++
	r := &read{id: readMark + strconv.Itoa(a.reads), work: work, over: make(chan struct{})}
	a.unread = append(a.unread, r)
	a.mostReads = most
	a.readNext()
	a.arm()
	return r.over
}

// readMark begins the names of work in the pool that is no run.
const readMark = "read "

type read struct {
	id   string
	work time.Duration
	over chan struct{}
}

func (a *Agent) readNext() {
	for len(a.unread) > 0 && len(a.reading) < a.mostReads {
		if a.reading == nil {
			a.reading = map[string]*read{}
		}
		r := a.unread[0]
		a.unread = a.unread[1:]
		a.reading[r.id] = r
		a.Cores.Add(r.id, r.work)
	}
}

// CompleteRequest tells that a request has its final answer, or that nobody waits for one: a run of it ends at its call, as
// interrupted.
func (a *Agent) CompleteRequest(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.runs[id]; r != nil && r.waiting {
		r.waiting = false
		r.plan.Result = "interrupted"
		a.end(r)
	}
}

// SetSlowdown has the cores be so many times slower than they are.
func (a *Agent) SetSlowdown(times float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance()
	a.Cores.SetSlowdown(a.Now(), times)
	a.arm()
}

func (a *Agent) end(r *run) {
	if r.over {
		return
	}
	n := notice{Cmd: "outcome", Req: r.launch.RequestID, Result: r.plan.Result, Elapsed: float64(r.plan.Work.Milliseconds())}
	if n.Result == "" {
		n.Result, n.Payload = "success", r.launch.Body
	}
	if a.OnRunEnded != nil {
		a.OnRunEnded(r.launch, n.Result)
	}
	r.over, r.launch.Body = true, nil
	a.number(n)
}

// number gives a notice its place, keeps it and tells it.
func (a *Agent) number(n notice) {
	a.offset++
	n.Offset = a.offset
	a.notices = append(a.notices, n)
	if len(a.notices) > noticesKept {
		a.notices = a.notices[len(a.notices)-noticesKept:]
	}
	a.say(n)
}

// say writes a notice; what a broken link loses comes again on the next.
func (a *Agent) say(n notice) {
	if a.link != nil {
		_ = a.link.Encode(n)
	}
}

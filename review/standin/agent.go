package standin

import (
	"bufio"
	"encoding/json"
	"net"
	"sync"
	"time"
)

// keptNotices is how many notices the agent keeps for a new link.
const keptNotices = 4000

// Names of commands and notices on the wire.
const (
	wordSubscribe = "subscribe"
	wordLaunch    = "launch"
	wordDeliver   = "deliver"
	wordForgo     = "forgo"
	wordSample    = "sample"
	wordExercise  = "exercise"
	wordGreeting  = "greeting"
	wordOutcome   = "outcome"
	wordRequest   = "request"
	wordSampled   = "sampled"
	wordExercised = "exercised"
	wordRefusal   = "refusal"
	wordSuccess   = "success"
)

// Step is a part of a run: work on a core, and then a call, if there is one.
type Step struct {
	Work time.Duration
	Call []byte // nil = none
}

// Run is a run at the agent. The agent's lock guards it.
type Run struct {
	ID       string
	Class    string
	Payload  []byte
	Replies  [][]byte // replies that the run was given, one per call; nil = went on without it
	Ended    bool
	steps    []Step
	step     int
	inCall   bool  // waits for a call
	callNote int64 // number of the notice that asked for that call
}

// Calls returns the bodies of the calls of a run that it has asked for so far.
func (r *Run) Calls() (bodies [][]byte) {
	for i := 0; i <= r.step && i < len(r.steps); i++ {
		if r.steps[i].Call != nil {
			bodies = append(bodies, r.steps[i].Call)
		}
	}
	return bodies
}

// Agent is a stand-in of the render farm agent. The fields are set before Serve. All hooks are called with the agent's lock
// held.
type Agent struct {
	Name    string
	Record  *Record
	Machine *Machine
	Plan    func(*Run) []Step
	Result  func(*Run) []byte

	OnStart   func(*Run)
	OnEnd     func(*Run)
	OnDeliver func(*Run) (hold bool) // after a reply; if it returns true, the run stays on a core until Resume
	OnSampled func()                 // after the answer to a sample was written
	Quiet     bool                   // samples are not recorded

	mu       sync.Mutex
	listener net.Listener
	started  time.Time
	link     net.Conn // that subscribed last
	notices  []notice
	offset   int64
	runs     map[string]*Run
}

// command is a command of an image server.
type command struct {
	Name    string `json:"cmd"`
	Offset  int64  `json:"offset"`
	Req     string `json:"req"`
	Method  string `json:"method"`
	Token   string `json:"token"`
	Payload []byte `json:"payload"`
}

// notice is a message of the agent.
type notice struct {
	Name    string    `json:"cmd"`
	Offset  int64     `json:"offset,omitempty"`
	Req     string    `json:"req,omitempty"`
	Result  string    `json:"result,omitempty"`
	Token   string    `json:"token,omitempty"`
	Elapsed *int64    `json:"elapsed_ms,omitempty"`
	Load    []float64 `json:"load,omitempty"`
	Payload []byte    `json:"payload,omitempty"`
}

// Serve starts the agent on a free port.
func (a *Agent) Serve() {
	a.listener = Listen()
	a.started = time.Now()
	a.runs = map[string]*Run{}
	go accept(a.listener, a.handleLink)
}

// Address returns the address of the agent.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Close ends the agent.
func (a *Agent) Close() {
	closeQuietly(a.listener)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Break()
}

// Break closes the link. Runs continue. It is called with the agent's lock held, as from a hook.
func (a *Agent) Break() {
	if a.link != nil {
		closeQuietly(a.link)
		a.link = nil
	}
}

func (a *Agent) handleLink(link net.Conn) {
	defer link.Close()
	lines := bufio.NewReader(link)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		var received command
		if json.Unmarshal(line, &received) != nil || !a.handle(link, &received) {
			return // something that is no command: the link is closed
		}
	}
}

// handle carries out a command. It returns false if the link must be closed.
func (a *Agent) handle(link net.Conn, received *command) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if received.Name == wordSubscribe {
		a.subscribe(link, received.Offset)
		return true
	}
	if link != a.link {
		return false // replaced by a newer one
	}
	switch received.Name {
	case wordLaunch:
		a.launch(received)
	case wordDeliver, wordForgo:
		a.endCall(received)
	case wordSample:
		a.sample(received.Token)
	case wordExercise:
		a.send(&notice{Name: wordExercised, Token: received.Token, Result: wordSuccess})
	default:
		return false
	}
	return true
}

func (a *Agent) subscribe(link net.Conn, after int64) {
	a.Break()
	a.link = link
	a.Record.Add("%s: link, subscribe %d", a.Name, after)
	age := time.Since(a.started).Milliseconds()
	a.send(&notice{Name: wordGreeting, Result: "steady", Elapsed: &age})
	for i := range a.notices {
		if a.notices[i].Offset > after {
			a.send(&a.notices[i])
		}
	}
}

func (a *Agent) sample(token string) {
	use, onCores := a.Machine.Load()
	if !a.Quiet {
		a.Record.Add("%s: sample %s answered", a.Name, token)
	}
	a.send(&notice{Name: wordSampled, Token: token, Load: []float64{use, float64(onCores), 0.1, 10}})
	if a.OnSampled != nil {
		a.OnSampled()
	}
}

func (a *Agent) launch(received *command) {
	if a.runs[received.Req] != nil {
		a.Record.Add("%s: launch %s again, nothing happens", a.Name, received.Req)
		return
	}
	run := &Run{ID: received.Req, Class: received.Method, Payload: received.Payload}
	run.steps = a.Plan(run)
	a.runs[run.ID] = run
	a.Record.Add("%s: launch %s %s", a.Name, run.ID, run.Class)
	if a.OnStart != nil {
		a.OnStart(run)
	}
	a.doStep(run)
}

// doStep does the work of the next step of a run.
func (a *Agent) doStep(run *Run) {
	a.Machine.Do(run.steps[run.step].Work, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.endWork(run)
	})
}

// Resume ends the work of a run that OnDeliver has held. It is called with the agent's lock held.
func (a *Agent) Resume(run *Run) { a.endWork(run) }

// endWork goes on with a run whose work of this step is done: with its call, or its end.
func (a *Agent) endWork(run *Run) {
	if body := run.steps[run.step].Call; body != nil {
		run.inCall = true
		run.callNote = a.publish(&notice{Name: wordRequest, Req: run.ID, Payload: body})
		a.Record.Add("%s: run %s waits for its call %d %q, notice %d", a.Name, run.ID, len(run.Replies)+1, body, run.callNote)
		return
	}
	a.endRun(run)
}

func (a *Agent) endRun(run *Run) {
	run.Ended = true
	took := time.Since(a.started).Milliseconds()
	number := a.publish(&notice{Name: wordOutcome, Req: run.ID, Result: wordSuccess, Elapsed: &took, Payload: a.Result(run)})
	a.Record.Add("%s: run %s over, notice %d", a.Name, run.ID, number)
	if a.OnEnd != nil {
		a.OnEnd(run)
	}
}

// endCall gives a run the reply to the call that it waits for, or lets it go on without.
func (a *Agent) endCall(received *command) {
	run := a.runs[received.Req]
	if run == nil || !run.inCall || received.Name == wordForgo && received.Offset != run.callNote {
		a.Record.Add("%s: %s %s %q: no such call is waited for", a.Name, received.Name, received.Req, received.Payload)
		a.send(&notice{Name: wordRefusal, Req: received.Req, Result: received.Name})
		return
	}
	run.inCall = false
	reply := received.Payload
	if received.Name == wordForgo {
		reply = nil
	}
	run.Replies = append(run.Replies, reply)
	a.Record.Add("%s: %s %s %q, for its call %d", a.Name, received.Name, run.ID, reply, len(run.Replies))
	hold := a.OnDeliver != nil && received.Name == wordDeliver && a.OnDeliver(run)
	run.step++
	if !hold {
		a.doStep(run)
	}
}

// EndCalls ends the runs of a request that is over and waits at a call, as the pages have it.
func (a *Agent) EndCalls(requestID string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	run := a.runs[requestID]
	if run == nil || !run.inCall || run.Ended {
		return
	}
	run.inCall = false
	run.Ended = true
	a.publish(&notice{Name: wordOutcome, Req: run.ID, Result: "interrupted"})
	a.Record.Add("%s: run %s interrupted at a call, its request is over", a.Name, run.ID)
	if a.OnEnd != nil {
		a.OnEnd(run)
	}
}

// publish numbers a notice, keeps it and sends it.
func (a *Agent) publish(numbered *notice) int64 {
	a.offset++
	numbered.Offset = a.offset
	a.notices = append(a.notices, *numbered)
	if len(a.notices) > keptNotices {
		a.notices = a.notices[len(a.notices)-keptNotices:]
	}
	a.send(numbered)
	return a.offset
}

// send writes a notice to the link, if there is one.
func (a *Agent) send(sent *notice) {
	if a.link == nil {
		return
	}
	line, err := json.Marshal(sent)
	if err != nil {
		return // the fields can all be encoded
	}
	_, _ = a.link.Write(append(line, '\n')) // after a break the next link brings numbered notices
}

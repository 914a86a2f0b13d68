package peers

import (
	"bufio"
	"encoding/json"
	"net"
	"sync"
	"time"
)

// Names of fields of commands and notices.
const (
	fieldCommand = "cmd"
	fieldRequest = "req"
	fieldResult  = "result"
)

const keptNotices = 4000 // that the agent sends again; the protocol page says how many

// Run is one run at the agent.
type Run struct {
	ID      string
	Class   string
	Body    string
	Started time.Time
	Result  string // set at its success
	End     string // "" while it runs

	calls   int    // still to be made
	made    int    // calls so far
	call    string // the last one
	waitsAt int64  // number of the notice of the call that it waits for; 0: none
	replies []string
}

// Agent is a render farm agent. It runs what it is told to run, each request for as long as Work says, with as many
// calls before that as Calls says. It may be reached at several addresses, and numbers its notices over all of them.
type Agent struct {
	Record *Record
	Book   *Book                                // tells which requests came, and which are over
	Work   func(id, class string) time.Duration // how long a run works
	Calls  func(id, class string) (calls int)   // how many calls it makes first

	mu      sync.Mutex
	started time.Time
	link    net.Conn
	offset  int64
	notices []notice
	runs    map[string]*Run
	order   []*Run
}

type notice struct {
	offset int64
	line   []byte
}

// Serve listens at a free address, or at address if that is not empty, and returns the address.
func (a *Agent) Serve(address string) (string, func(), error) {
	a.mu.Lock()
	if a.runs == nil {
		a.runs = map[string]*Run{}
		a.started = time.Now().Add(-time.Minute)
	}
	a.mu.Unlock()
	return serveTCP(address, a.serveLink)
}

func (a *Agent) serveLink(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return
		}
		var command map[string]any
		if json.Unmarshal(line, &command) != nil {
			a.Record.Add("agent: unreadable command %.80q", line)
			return
		}
		a.handle(conn, command)
	}
}

func text(command map[string]any, name string) string {
	value, _ := command[name].(string)
	return value
}

func number(command map[string]any, name string) int64 {
	value, _ := command[name].(float64)
	return int64(value)
}

func (a *Agent) handle(conn net.Conn, command map[string]any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if text(command, fieldCommand) == "subscribe" {
		a.subscribe(conn, number(command, "offset"))
		return
	}
	if conn != a.link {
		return // a newer link has taken its place
	}
	id := text(command, fieldRequest)
	switch text(command, fieldCommand) {
	case "launch":
		a.launch(id, command)
	case "deliver":
		a.deliver(id, decode64(text(command, "payload")))
	case "forgo":
		a.forgo(id, number(command, "offset"))
	case "sample":
		a.send(object{fieldCommand: "sampled", "token": text(command, "token"), "load": a.load()})
	case "exercise":
		a.send(object{fieldCommand: "exercised", "token": text(command, "token"), fieldResult: "success"})
	default:
		_ = conn.Close()
	}
}

func (a *Agent) load() []float64 {
	running := 0.0
	for _, run := range a.runs {
		if run.End == "" && run.waitsAt == 0 {
			running++
		}
	}
	return []float64{min(running/6, 1), running, 0.1, 10}
}

func (a *Agent) subscribe(conn net.Conn, offset int64) {
	if a.link != nil && a.link != conn {
		_ = a.link.Close()
	}
	a.link = conn
	a.Record.Add("agent: link from notice %d on", offset)
	a.send(object{fieldCommand: "greeting", fieldResult: "steady",
		"elapsed_ms": float64(time.Since(a.started).Milliseconds())})
	for _, kept := range a.notices {
		if kept.offset > offset {
			a.write(kept.line)
		}
	}
}

func (a *Agent) write(line []byte) {
	if a.link != nil {
		_, _ = a.link.Write(line)
	}
}

func (a *Agent) send(message object) {
	line, _ := json.Marshal(message) //nolint:errchkjson // it has strings and numbers only
	a.write(append(line, '\n'))
}

// publish sends a numbered notice and keeps it. The bytes of payload are in base64 already.
func (a *Agent) publish(message object) int64 {
	a.offset++
	message["offset"] = a.offset
	line, _ := json.Marshal(message) //nolint:errchkjson // it has strings and numbers only
	line = append(line, '\n')
	a.notices = append(a.notices, notice{a.offset, line})
	if len(a.notices) > keptNotices {
		a.notices = a.notices[1:]
	}
	a.write(line)
	return a.offset
}

func (a *Agent) launch(id string, command map[string]any) {
	class, body := text(command, "method"), decode64(text(command, "payload"))
	if run := a.runs[id]; run != nil {
		a.launchAgain(run)
		return
	}
	sent := a.Book.find(id)
	if sent == nil || sent.Class != class || string(sent.Body) != body {
		a.Record.Add("agent: refused launch of %s", id)
		a.send(object{fieldCommand: "refusal", fieldResult: "launch", fieldRequest: id})
		return
	}
	run := &Run{ID: id, Class: class, Body: body, Started: time.Now()}
	a.runs[id] = run
	a.order = append(a.order, run)
	if a.Book.over(id) {
		a.finish(run, "nothing")
		return
	}
	a.Book.ran(id, run.Started)
	a.Record.Add("agent: run %s %s %s", id, class, sent.Key)
	if a.Calls != nil {
		run.calls = a.Calls(id, class)
	}
	a.step(run)
}

// launchAgain handles a launch of a request that was launched before.
func (a *Agent) launchAgain(run *Run) {
	a.Record.Add("agent: launch again of %s (%s)", run.ID, run.End)
	switch {
	case run.End == "":
	case a.Book.over(run.ID):
		a.publish(object{fieldCommand: "outcome", fieldRequest: run.ID, fieldResult: "nothing", "elapsed_ms": 0.0})
	default:
		a.Book.breakRule("duplicate", "%s launched again after its end", run.ID)
	}
}

// step lets a run go on: to its next call, or to its work.
func (a *Agent) step(run *Run) {
	if run.calls > 0 {
		if a.Book.over(run.ID) {
			a.finish(run, "interrupted")
			return
		}
		run.calls--
		run.call = a.Book.call(run.ID, run.made)
		run.made++
		run.waitsAt = a.publish(object{fieldCommand: "request", fieldRequest: run.ID, "payload": encode64(run.call)})
		return
	}
	work := time.Duration(0)
	if a.Work != nil {
		work = a.Work(run.ID, run.Class)
	}
	time.AfterFunc(work, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		run.Result = a.Book.result(run.ID)
		a.Book.succeeded(run.ID, run.Result)
		a.finish(run, "success")
	})
}

func (a *Agent) finish(run *Run, end string) {
	if run.End != "" {
		return
	}
	run.End = end
	message := object{fieldCommand: "outcome", fieldRequest: run.ID, fieldResult: end,
		"elapsed_ms": float64(time.Since(run.Started).Milliseconds())}
	if end == "success" {
		message["payload"] = encode64(run.Result)
	}
	a.Record.Add("agent: end of %s: %s", run.ID, end)
	a.publish(message)
}

func (a *Agent) deliver(id, reply string) {
	run := a.runs[id]
	if run == nil || run.waitsAt == 0 {
		a.Record.Add("agent: reply without a call for %s", id)
		return
	}
	if reply != a.Book.reply(run.call) {
		a.Book.breakRule("lost", "%s got %.60q for %.60q", id, reply, run.call)
	}
	run.waitsAt = 0
	run.replies = append(run.replies, reply)
	a.step(run)
}

func (a *Agent) forgo(id string, offset int64) {
	run := a.runs[id]
	if run == nil || run.waitsAt != offset {
		a.send(object{fieldCommand: "refusal", fieldResult: "forgo", fieldRequest: id})
		return
	}
	run.waitsAt = 0
	a.step(run)
}

// Over tells the agent that a request is over: a run that waits for a call ends then.
func (a *Agent) Over(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if run := a.runs[id]; run != nil && run.End == "" && run.waitsAt != 0 {
		run.waitsAt = 0
		a.finish(run, "interrupted")
	}
}

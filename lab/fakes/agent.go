// Package fakes implements fakes of the services that an image server depends on: the render farm agent, the store
// and the announce service. They listen on loopback and speak the protocol of the real services. The laboratory and
// tests use them; no server imports them. Without a worker pool (package workerpool), a run takes exactly the time in
// its plan, and a store answers calls at once.
package fakes

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"falldeal/lab/workerpool"
)

// notificationBacklog is the maximum number of notifications that an agent keeps for connections that resume. The
// protocol defines it.
const notificationBacklog = 4000

// Agent is a fake render farm agent. Its exported fields must be set before Serve and must not change afterwards. Its
// methods are safe for concurrent use.
type Agent struct {
	State string        // in the handshake: "booting" or "steady"
	Age   time.Duration // age of the agent in the handshake
	// Load holds the gauges in the answer to a sample command: utilization of the cores, runs and reads on the cores,
	// memory utilization and connections. It is computed if Cores is set.
	Load [4]float64
	// PlanRun returns the plan of a run. If nil, every run succeeds at once, without a call.
	PlanRun func(l Launch) RunPlan

	Cores *workerpool.Pool     // shared by all runs and reads; nil: each run takes the time in its plan
	Now   func() time.Duration // clock of Cores
	// OnRunStarted and OnRunEnded are called while the agent holds its lock. They must not call methods of the agent.
	OnRunStarted func(l Launch)
	OnRunEnded   func(l Launch, result RunResult)

	// mu guards the fields below and Cores.
	mu      sync.Mutex
	conn    net.Conn        // connection that has subscribed last; nil before the first
	encoder *json.Encoder   // writes to conn
	offset  int             // number of the last numbered notification
	backlog []notification  // most recent numbered notifications, oldest first
	runs    map[string]*run // by request ID, including completed runs
	timer   completionTimer // fires at the next completion in Cores

	readQueue   []*pendingRead          // reads that wait for a place in Cores
	activeReads map[string]*pendingRead // reads in Cores, by their ID there
	maxReads    int                     // maximum number of activeReads
	readCount   int                     // number of reads so far, for their IDs
}

// Serve accepts connections of image servers until ln is closed. It returns the listener's error.
func (a *Agent) Serve(ln net.Listener) error { return accept(ln, a.handleConn) }

// accept handles each connection in its own goroutine, until ln is closed.
func accept(ln net.Listener, handle func(net.Conn)) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return fmt.Errorf("accept: %w", err)
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
			return // the connection has ended or sent a malformed command
		}
		a.handleCommand(conn, cmd)
	}
}

// Disconnect closes the current connection, if there is one. The next connection receives the notifications after the
// offset that it subscribes with.
func (a *Agent) Disconnect() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		_ = a.conn.Close() // fails if it is already closed
	}
}

func (a *Agent) handleCommand(conn net.Conn, cmd command) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cmd.Name == commandSubscribe {
		a.subscribe(conn, cmd.Offset)
		return
	}
	if conn != a.conn {
		return // this connection has not subscribed, or a newer one has replaced it
	}
	switch cmd.Name {
	case commandSample:
		a.send(notification{Name: notificationSampled, Token: cmd.Token, Load: a.sample()})
	case commandDeepCheck:
		a.send(notification{Name: notificationDeepChecked, Token: cmd.Token, Result: string(RunSucceeded)})
	case commandLaunch:
		if a.runs[cmd.Req] == nil {
			a.startRun(&run{launch: Launch{RequestID: cmd.Req, Class: cmd.Method, Body: cmd.Payload}})
		}
	case commandReply, commandSkipCall:
		a.resumeRun(cmd)
	default:
		_ = conn.Close() // the protocol requires it on an unknown command
	}
}

// subscribe makes conn the current connection. It sends the handshake and the notifications after offset.
func (a *Agent) subscribe(conn net.Conn, offset int) {
	if a.runs == nil {
		a.runs = map[string]*run{}
	}
	a.conn = conn
	a.encoder = json.NewEncoder(conn)
	a.send(notification{Name: notificationHandshake, Result: a.State, Elapsed: float64(a.Age.Milliseconds())})
	for _, n := range a.backlog {
		if n.Offset > offset {
			a.send(n)
		}
	}
}

// sample returns the load gauges of the agent. With Cores set, the gauges of memory and connections are constant.
func (a *Agent) sample() []float64 {
	if a.Cores != nil {
		a.advance()
		a.Load = [4]float64{a.Cores.Utilization(), float64(a.Cores.InFlight()), 0.1, 10}
	}
	return a.Load[:]
}

// publish assigns the next number to a notification, adds it to the backlog and sends it.
func (a *Agent) publish(event notification) {
	a.offset++
	event.Offset = a.offset
	a.backlog = append(a.backlog, event)
	if len(a.backlog) > notificationBacklog {
		a.backlog = a.backlog[len(a.backlog)-notificationBacklog:]
	}
	a.send(event)
}

// send writes a notification to the current connection. It ignores errors: the next connection receives numbered
// notifications from the backlog.
func (a *Agent) send(n notification) {
	if a.encoder != nil {
		_ = a.encoder.Encode(n)
	}
}

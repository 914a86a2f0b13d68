// Package fakes has fakes of the services that an image server depends on: the render farm agent, the store and the
// announce service. They listen on loopback and follow the protocol page. They are for the laboratory and for tests;
// no server imports them. A fake without a worker pool (package workerpool) takes exactly the time it is configured
// with.
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

// notificationBacklog is how many numbered notifications an agent keeps for connections that resume (protocol).
const notificationBacklog = 4000

// Agent is a fake render farm agent. Its exported fields are set before Serve and not changed after it. Its methods
// may be called from any goroutine.
type Agent struct {
	State string        // of the handshake: booting or steady
	Age   time.Duration // of the agent, as the handshake reports it
	Load  [4]float64    // what samples are answered with; computed from Cores where they are set
	// PlanRun plans the course of a run. Nil: every run succeeds at once, without a call.
	PlanRun func(l Launch) RunPlan

	Cores *workerpool.Pool     // shared by all runs and reads; nil: each run takes the time of its plan
	Now   func() time.Duration // clock of Cores
	// OnRunStarted and OnRunEnded are called while the agent is locked, and must not call its methods.
	OnRunStarted func(l Launch)
	OnRunEnded   func(l Launch, result RunResult)

	mu      sync.Mutex
	conn    net.Conn      // the newest connection; nil before the first
	encoder *json.Encoder // writes to conn
	offset  int           // number of the last notification
	backlog []notification
	runs    map[string]*run // by request, including completed ones
	timer   completionTimer // of Cores

	readQueue   []*pendingRead
	activeReads map[string]*pendingRead // by their identifier in Cores
	maxReads    int
	readCount   int
}

// Serve accepts connections of image servers until ln is closed, and returns the listener's error.
func (a *Agent) Serve(ln net.Listener) error { return accept(ln, a.handleConn) }

// accept has a goroutine of its own handle each connection, until ln is closed.
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
			return // the connection ended, or sent something that is not a command
		}
		a.handleCommand(conn, cmd)
	}
}

// Disconnect closes the connection, as a fault does. The next connection gets the notifications that it missed.
func (a *Agent) Disconnect() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		_ = a.conn.Close() // as a fault does
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
		return // a newer connection has replaced this one
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
		_ = conn.Close() // the protocol ends a connection on an unknown command
	}
}

// subscribe makes conn the agent's connection and sends it the handshake and the notifications after offset.
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

// sample returns the gauges of the agent's load; those of memory and connections are fixed.
func (a *Agent) sample() []float64 {
	if a.Cores != nil {
		a.advance()
		a.Load = [4]float64{a.Cores.Utilization(), float64(a.Cores.InFlight()), 0.1, 10}
	}
	return a.Load[:]
}

// publish numbers a notification, adds it to the backlog and sends it.
func (a *Agent) publish(event notification) {
	a.offset++
	event.Offset = a.offset
	a.backlog = append(a.backlog, event)
	if len(a.backlog) > notificationBacklog {
		a.backlog = a.backlog[len(a.backlog)-notificationBacklog:]
	}
	a.send(event)
}

// send writes a notification to the current connection. An error needs no handling: the next connection resumes from
// the backlog.
func (a *Agent) send(n notification) {
	if a.encoder != nil {
		_ = a.encoder.Encode(n)
	}
}

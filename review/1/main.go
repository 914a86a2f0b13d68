// Command 1 shows that a run gets the reply to an earlier call after its agent's link broke.
package main

import (
	"bytes"
	"fmt"
	"time"

	"falldeal/lab/frontrpc"
	"falldeal/review/standin"
)

const (
	requests   = 30
	breakEvery = 5 // the link breaks during every fifth request
	interval   = 300 * time.Millisecond
	wait       = 5800 * time.Millisecond
	cores      = 6
	firstWork  = 20 * time.Millisecond
	secondWork = 15 * time.Millisecond
	lastWork   = 10 * time.Millisecond
	callTime   = 8 * time.Millisecond
	firstID    = 0x1b1f03aa5c7e0000
	firstKey   = 0x5c0f6e1a2b3d0000
)

// test is the state of the case. The agent's hooks change it while they hold the agent's lock.
type test struct {
	site   *standin.Site
	agent  *standin.Agent
	runs   []*standin.Run // that were started
	held   *standin.Run   // whose work goes on over the break of the link
	breaks int
}

func main() {
	standin.Main(func(site *standin.Site) (broken bool) {
		current := &test{site: site}
		current.send(current.start())
		return current.judge()
	})
}

// start starts the image server with its agent and its store, and returns its address.
func (t *test) start() (address string) {
	t.site.Store.Latency = func() time.Duration { return callTime }
	t.site.Store.Reply = reply
	t.site.Store.Serve()
	t.agent = &standin.Agent{Name: "agent", Machine: t.site.AddMachine(cores, 1), Plan: plan, Result: result}
	t.agent.OnStart = func(run *standin.Run) { t.runs = append(t.runs, run) }
	t.agent.OnDeliver = t.breakLink
	t.agent.OnSampled = t.goOn
	t.site.AddAgent(t.agent)
	address = standin.FreeAddress()
	config := standin.Config{
		Name: "n1", Listen: address, Agent: t.agent.Address(), Store: t.site.Store.Address(),
		Announce: t.site.Announce.Address(), Servers: 3, Fronts: 3, Cores: cores, MemoryKB: 43152, RunFactor: 16, KeyKB: 73.43,
		FallMultiple: 5, CallsOut: 5.9, Sockets: 512, MemoryMB: 192, Classes: standin.Beeldkluis(),
	}
	t.site.Launch(&standin.Start{Config: config.JSON()})
	return address
}

// plan makes a run of two calls with work before, between and after them.
func plan(run *standin.Run) []standin.Step {
	return []standin.Step{
		{Work: firstWork, Call: fmt.Appendf(nil, "stock of %s", run.Payload)},
		{Work: secondWork, Call: fmt.Appendf(nil, "price of %s", run.Payload)},
		{Work: lastWork},
	}
}

// reply is what the store replies to a call.
func reply(call []byte) []byte { return fmt.Appendf(nil, "<%s>", call) }

// result is what a run makes of the replies that it was given.
func result(run *standin.Run) []byte { return bytes.Join(run.Replies, []byte(" and ")) }

// breakLink breaks the link when the reply to the first call of a run was read, in every fifth run. The run stays on its
// core.
func (t *test) breakLink(run *standin.Run) (hold bool) {
	if !t.site.Trouble || len(run.Replies) != 1 || len(t.runs)%breakEvery != 0 {
		return false
	}
	t.site.Record.Add("the link to the agent breaks; run %s goes on", run.ID)
	t.breaks++
	t.held = run
	t.agent.Break()
	return true
}

// goOn lets the run come to its second call, once there is a link again and a sample was answered on it.
func (t *test) goOn() {
	if run := t.held; run != nil {
		t.held = nil
		t.agent.Resume(run)
	}
}

// send sends the requests, one after the other.
func (t *test) send(address string) {
	conn, err := standin.Dial(address)
	standin.Must(err)
	defer conn.Close()
	served := 0
	for i := range requests {
		body := fmt.Sprintf("order-%d", i+1)
		request := frontrpc.Request{
			Class: "licence-order", ID: fmt.Sprintf("%016x", firstID+i), Client: 1, MemoryKB: 24.5, Rank: 0.5,
			SentAt: time.Now(), Timeout: wait, CostHint: firstWork + secondWork + lastWork,
			IdempotencyKey: fmt.Sprintf("%032x", firstKey+i), Body: []byte(body),
		}
		t.site.Record.Add("front end: sends %s licence-order %s", request.ID, body)
		answers, err := conn.Send(&request)
		standin.Must(err)
		answer := <-answers
		t.site.Record.Add("front end: %s %s %q", request.ID, answer.Outcome, answer.Result)
		if answer.Outcome == standin.Served {
			served++
		}
		time.Sleep(interval)
	}
	t.site.Record.Say("%d of %d requests were served", served, requests)
	if served == 0 {
		standin.Must(standin.ErrCase)
	}
}

// judge compares each reply that a run was given with what the store replied to that call.
func (t *test) judge() (broken bool) {
	wrong := 0
	for _, run := range t.runs {
		for i, call := range run.Calls() {
			if i >= len(run.Replies) || run.Replies[i] == nil {
				continue // the run went on without this call, or ended at it
			}
			if want := reply(call); !bytes.Equal(run.Replies[i], want) {
				t.site.Record.Say("run %s: call %d, %q, was given the reply %q, the store's is %q",
					run.ID, i+1, call, run.Replies[i], want)
				wrong++
			}
		}
	}
	t.site.Record.Say("%d requests, %d breaks of the link, %d calls with a wrong reply", requests, t.breaks, wrong)
	return wrong > 0
}

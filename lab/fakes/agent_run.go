package fakes

import "time"

// DegradedResult is the result of a run that went on without its call.
const DegradedResult = "without its call"

// Launch is a run that an image server asks for.
type Launch struct {
	RequestID string
	Class     string
	Body      []byte
}

// RunPlan is the course of a run. Unless it is interrupted it succeeds, with the body of its launch as the
// result.
type RunPlan struct {
	Work time.Duration // processor time without calls; 0 = none
	Call []byte        // body of a call that the run makes first; nil = none
}

// run is the state of one run. All fields belong to the agent's lock.
type run struct {
	launch       Launch
	plan         RunPlan
	awaitingCall bool
	completed    bool
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
	a.publish(notification{Name: notificationRequest, Req: started.launch.RequestID, Payload: started.plan.Call})
}

// resumeRun continues a run whose call was answered (deliver) or is skipped (forgo).
func (a *Agent) resumeRun(cmd command) {
	resumed := a.runs[cmd.Req]
	if resumed == nil || !resumed.awaitingCall {
		return
	}
	resumed.awaitingCall = false
	if cmd.Name == commandSkipCall {
		resumed.launch.Body = []byte(DegradedResult)
	}
	a.execute(resumed)
}

// execute does the work of a run that has no call to wait for.
func (a *Agent) execute(ready *run) {
	if ready.plan.Work <= 0 {
		a.finishRun(ready, RunSucceeded)
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
		a.finishRun(ready, RunSucceeded)
	})
}

// CompleteRequest informs the agent that a request has its final answer or that its client has abandoned it. A run of it
// that waits for a call ends as interrupted.
func (a *Agent) CompleteRequest(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if pending := a.runs[id]; pending != nil && pending.awaitingCall {
		pending.awaitingCall = false
		a.finishRun(pending, RunInterrupted)
	}
}

func (a *Agent) finishRun(finished *run, result RunResult) {
	if finished.completed {
		return
	}
	outcome := notification{
		Name:    notificationOutcome,
		Req:     finished.launch.RequestID,
		Result:  string(result),
		Elapsed: float64(finished.plan.Work.Milliseconds()),
	}
	if result == RunSucceeded {
		outcome.Payload = finished.launch.Body
	}
	if a.OnRunEnded != nil {
		a.OnRunEnded(finished.launch, result)
	}
	finished.completed = true
	finished.launch.Body = nil
	a.publish(outcome)
}

package fakes

import "time"

// DegradedResult is the result of a run that continued without its call.
const DegradedResult = "without its call"

// Launch is the command of an image server to start a run.
type Launch struct {
	RequestID string
	Class     string
	Body      []byte
}

// RunPlan is the plan of a run. The run makes its call, if any, and then does its work. It succeeds unless it is
// interrupted. Its result is Result, or DegradedResult if the call was skipped.
type RunPlan struct {
	Work   time.Duration // processor time, not counting the call; 0 = none
	Call   []byte        // body of the call that the run makes first; nil = none
	Result []byte        // nil = the body of the launch

	// Rejected makes the agent reject the launch, as it does for a request that it does not know.
	Rejected bool
}

// run is the state of one run. Agent.mu guards all fields.
type run struct {
	launch       Launch
	plan         RunPlan
	awaitingCall bool
	completed    bool
}

// startRun starts a run: with its call if the plan has one, otherwise with its work. If Rejected is set in
// the plan, it rejects the run.
func (a *Agent) startRun(started *run) {
	if a.PlanRun != nil {
		started.plan = a.PlanRun(started.launch)
	}
	if started.plan.Rejected {
		a.send(notification{Name: notificationRejected, Result: string(commandLaunch), Req: started.launch.RequestID})
		return
	}
	a.runs[started.launch.RequestID] = started
	if a.OnRunStarted != nil {
		a.OnRunStarted(started.launch)
	}
	if started.plan.Result != nil {
		started.launch.Body = started.plan.Result
	}
	if started.plan.Call == nil {
		a.execute(started)
		return
	}
	started.awaitingCall = true
	a.publish(notification{Name: notificationRequest, Req: started.launch.RequestID, Payload: started.plan.Call})
}

// resumeRun continues a run whose call was answered or skipped.
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

// CompleteRequest tells the agent that a request was answered, or that its client abandoned it. If the run of the
// request waits for its call, it ends as interrupted; otherwise it continues.
func (a *Agent) CompleteRequest(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if pending := a.runs[id]; pending != nil && pending.awaitingCall {
		pending.awaitingCall = false
		a.finishRun(pending, RunInterrupted)
	}
}

// finishRun ends a run and publishes its outcome. It does nothing if the run has already ended.
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

package fleetlab

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"falldeal/lab/faults"
	"falldeal/lab/history"
)

// scriptInterval is the time between two checks for faults that are due to start or to end.
const scriptInterval = 20 * time.Millisecond

// faultState is the progress of a fault of the script.
type faultState uint8

const (
	faultPending faultState = iota
	faultActive
	faultEnded
)

// scriptedFault is a fault of the script. It is guarded by Lab.mu.
type scriptedFault struct {
	faults.Fault
	state faultState
}

// advance sets the state that the fault must have at now. It reports whether the fault starts and whether it ends. Both
// are true if the whole fault lies between the previous call and this one.
func (f *scriptedFault) advance(now time.Duration) (starts, ends bool) {
	if f.state == faultPending && now >= f.Start {
		f.state = faultActive
		starts = true
	}
	if f.state == faultActive && f.Duration > 0 && now >= f.Start+f.Duration {
		f.state = faultEnded
		ends = true
	}
	return starts, ends
}

// Locations returns the zone and region of each member, which the patterns of a fault script are matched against.
func (l *Lab) Locations() (locations []faults.Location) {
	for _, m := range l.Members {
		locations = append(locations, faults.Location{Name: m.Name, Zone: m.Zone, Region: l.options.Region})
	}
	return locations
}

// AddFault adds a fault to the script. It returns an error if the fault is invalid or matches no member of this
// fleet.
func (l *Lab) AddFault(fault faults.Fault) error {
	if err := fault.Check(l.Locations()); err != nil {
		return fmt.Errorf("%s: %w", fault.Kind, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.script = append(l.script, &scriptedFault{Fault: fault})
	return nil
}

// StartMembers starts all members except those that a faults.KindDelayedStart of the script applies to.
func (l *Lab) StartMembers(ctx context.Context) error {
	delayed := l.delayedMembers()
	for _, m := range l.Members {
		if delayed[m.Name] {
			continue
		}
		if err := m.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// delayedMembers returns the names of the members that a faults.KindDelayedStart of the script applies to.
func (l *Lab) delayedMembers() map[string]bool {
	delayed := map[string]bool{}
	l.mu.Lock()
	script := l.currentScript()
	l.mu.Unlock()
	for i := range script.Faults {
		fault := &script.Faults[i]
		if fault.Kind != faults.KindDelayedStart {
			continue
		}
		for _, name := range script.AffectedMembers(fault) {
			delayed[name] = true
		}
	}
	return delayed
}

// currentScript returns a copy of the script. The caller must hold l.mu.
func (l *Lab) currentScript() faults.Script {
	script := faults.Script{Locations: l.Locations()}
	for _, f := range l.script {
		script.Faults = append(script.Faults, f.Fault)
	}
	return script
}

// RunScript starts and ends the faults of the script when they are due, until ctx ends. It returns an error if a
// process cannot be started at the end of its fault or the rules of the relay cannot be set.
func (l *Lab) RunScript(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := l.applyFaults(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(scriptInterval):
		}
	}
	return nil
}

// applyFaults starts and ends the faults that are due.
func (l *Lab) applyFaults(ctx context.Context) error {
	now := l.Log.Now()
	starting, ending, script := l.advanceScript(now)
	if affectLinks(starting) || affectLinks(ending) {
		if err := l.Relay.SetRules(script.RulesAt(now)); err != nil {
			return fmt.Errorf("set relay rules: %w", err)
		}
	}
	for i := range starting {
		fault := &starting[i]
		l.Log.Add(history.Event{Kind: history.FaultChanged, Detail: faultName(fault), Count: 1})
		for _, name := range script.AffectedMembers(fault) {
			l.startFault(ctx, fault, l.FindMember(name))
		}
	}
	for i := range ending {
		fault := &ending[i]
		l.Log.Add(history.Event{Kind: history.FaultChanged, Detail: faultName(fault)})
		for _, name := range script.AffectedMembers(fault) {
			if err := l.endFault(ctx, fault, l.FindMember(name)); err != nil {
				return err
			}
		}
	}
	return nil
}

// advanceScript advances all faults of the script to now. It returns the faults that start, the faults that end, and
// a copy of the script.
func (l *Lab) advanceScript(now time.Duration) (starting, ending []faults.Fault, script faults.Script) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, scripted := range l.script {
		starts, ends := scripted.advance(now)
		if starts {
			starting = append(starting, scripted.Fault)
		}
		if ends {
			ending = append(ending, scripted.Fault)
		}
	}
	return starting, ending, l.currentScript()
}

// affectLinks reports whether any of the faults affects links.
func affectLinks(changed []faults.Fault) bool {
	for i := range changed {
		if changed[i].AffectsLink() {
			return true
		}
	}
	return false
}

// faultName returns the name of a fault in the history.
func faultName(fault *faults.Fault) string {
	text := string(fault.Kind) + " " + fault.Target
	if fault.Peer != "" && fault.Peer != faults.AllMembers {
		text += " " + fault.Peer
	}
	if fault.OneWay {
		text += " one way"
	}
	return text
}

// startFault applies a fault to the process, agent or store of a member. It ignores link faults, which the rules of
// the relay apply.
func (l *Lab) startFault(ctx context.Context, fault *faults.Fault, member *Member) {
	switch fault.Kind {
	case faults.KindKill:
		member.Kill()
	case faults.KindPause:
		member.Signal(syscall.SIGSTOP)
	case faults.KindTerminate:
		member.Signal(syscall.SIGTERM)
	case faults.KindRestart:
		member.Kill()
		member.logStartError(member.Start(ctx))
	case faults.KindSlowAgent:
		member.setAgentSlowdown(fault.Ratio)
	case faults.KindUnresponsiveStore:
		l.Stores[member.Zone].SetUnresponsive(true)
	case faults.KindStall:
		member.stallLoop(ctx)
	case faults.KindClockSkew:
		member.logStartError(member.restartWithClock(ctx, fault.Delay))
	default: // a link fault, or a delayed start, which StartMembers handles
	}
}

// endFault reverts a fault of the process, agent or store of a member.
func (l *Lab) endFault(ctx context.Context, fault *faults.Fault, member *Member) error {
	switch fault.Kind {
	case faults.KindKill, faults.KindTerminate, faults.KindDelayedStart:
		member.Wait()
		return member.Start(ctx)
	case faults.KindPause:
		member.Signal(syscall.SIGCONT)
	case faults.KindSlowAgent:
		member.setAgentSlowdown(1)
	case faults.KindUnresponsiveStore:
		l.Stores[member.Zone].SetUnresponsive(false)
	case faults.KindClockSkew:
		return member.restartWithClock(ctx, 0)
	default: // nothing to revert
	}
	return nil
}

// logStartError records a failed start in the history. It is for restarts at the start of a fault: unlike a restart at
// the end of a fault, such a failure does not end RunScript.
func (m *Member) logStartError(err error) {
	if err != nil {
		m.logState(history.ProcessState("not started: "+err.Error()), 0)
	}
}

// stallLoop asks the member's process to block its event loop. Errors are ignored: a process that does not answer
// does not stall.
func (m *Member) stallLoop(ctx context.Context) {
	response, err := m.callConsole(ctx, http.MethodPost, "/drill/wedge")
	if err == nil {
		_ = response.Body.Close() // the body is not needed
	}
}

package fleetlab

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"falldeal/lab/faults"
	"falldeal/lab/history"
)

const scriptInterval = 20 * time.Millisecond // between two looks at the script

// AddFault adds a fault to the script in force; its time counts from the start of the laboratory.
func (l *Lab) AddFault(fault faults.Fault) error {
	if err := fault.Check(l.Locations()); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.script.Locations = l.Locations()
	l.script.Faults = append(l.script.Faults, fault)
	return nil
}

// StartMembers starts all members but those that a fault of the script has start late.
func (l *Lab) StartMembers() error {
	delayed := map[string]bool{}
	l.mu.Lock()
	for i := range l.script.Faults {
		if f := &l.script.Faults[i]; f.Kind == faults.KindDelayedStart {
			for _, name := range l.script.AffectedMembers(f) {
				delayed[name] = true
			}
		}
	}
	l.mu.Unlock()
	for _, m := range l.Members {
		if !delayed[m.Name] {
			if err := m.Start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// RunScript carries out the script until ctx ends.
func (l *Lab) RunScript(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := l.applyFaults(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(scriptInterval):
		}
	}
	return nil
}

// applyFaults begins and ends the faults that are due.
func (l *Lab) applyFaults() error {
	now := l.Log.Now()
	l.mu.Lock()
	var starting, ending []faults.Fault
	links := false
	for i, fault := range l.script.Faults {
		if now >= fault.Start && !l.started[i] {
			l.started[i], links = true, links || fault.AffectsLink()
			starting = append(starting, fault)
		}
		if l.started[i] && !l.ended[i] && fault.Duration > 0 && now >= fault.Start+fault.Duration {
			l.ended[i], links = true, links || fault.AffectsLink()
			ending = append(ending, fault)
		}
	}
	script := faults.Script{Faults: append([]faults.Fault(nil), l.script.Faults...), Locations: l.script.Locations}
	l.mu.Unlock()
	if links {
		if err := l.Relay.SetRules(script.RulesAt(now)); err != nil {
			return fmt.Errorf("rules between processes: %w", err)
		}
	}
	for _, fault := range starting {
		l.Log.Add(history.Event{Kind: history.FaultChanged, Detail: faultName(&fault), Count: 1})
		for _, m := range script.AffectedMembers(&fault) {
			l.startFault(&fault, l.FindMember(m))
		}
	}
	for _, fault := range ending {
		l.Log.Add(history.Event{Kind: history.FaultChanged, Detail: faultName(&fault)})
		for _, m := range script.AffectedMembers(&fault) {
			if err := l.endFault(&fault, l.FindMember(m)); err != nil {
				return err
			}
		}
	}
	return nil
}

func faultName(fault *faults.Fault) string {
	text := fault.Kind + " " + fault.Target
	if fault.Peer != "" && fault.Peer != "*" {
		text += " " + fault.Peer
	}
	if fault.OneWay {
		text += " one way"
	}
	return text
}

func (l *Lab) startFault(fault *faults.Fault, member *Member) {
	switch fault.Kind {
	case faults.KindKill:
		member.Kill()
	case faults.KindPause:
		member.Signal(syscall.SIGSTOP)
	case faults.KindTerminate:
		member.Signal(syscall.SIGTERM)
	case faults.KindRestart:
		member.Kill()
		if err := member.Start(); err != nil {
			l.Log.Add(history.Event{Kind: history.ProcessChanged, Server: member.Name, Detail: "not started: " + err.Error()})
		}
	case faults.KindSlowAgent:
		member.agent.SetSlowdown(fault.Ratio)
	case faults.KindUnresponsiveStore:
		l.Stores[member.Zone].SetUnresponsive(true)
	case faults.KindWedge:
		if response, err := consoleClient.Post("http://"+member.ConsoleAddr+"/drill/wedge", "", nil); err == nil {
			response.Body.Close()
		}
	case faults.KindClockSkew:
		if err := member.restartWithClock(fault.Delay); err != nil {
			l.Log.Add(history.Event{Kind: history.ProcessChanged, Server: member.Name, Detail: "not started: " + err.Error()})
		}
	}
}

// restartWithClock starts the member's process again with another clock.
func (m *Member) restartWithClock(skew time.Duration) error {
	m.Kill()
	m.clockSkew = skew
	if err := m.WriteOperatorsFile(m.lab.key); err != nil {
		return err
	}
	return m.Start()
}

func (l *Lab) endFault(fault *faults.Fault, member *Member) error {
	switch fault.Kind {
	case faults.KindKill, faults.KindTerminate, faults.KindDelayedStart:
		member.Wait()
		return member.Start()
	case faults.KindPause:
		member.Signal(syscall.SIGCONT)
	case faults.KindSlowAgent:
		member.agent.SetSlowdown(1)
	case faults.KindUnresponsiveStore:
		l.Stores[member.Zone].SetUnresponsive(false)
	case faults.KindClockSkew:
		return member.restartWithClock(0)
	}
	return nil
}

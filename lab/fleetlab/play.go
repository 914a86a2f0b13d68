package fleetlab

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"falldeal/lab/faults"
	"falldeal/lab/history"
)

const look = 20 * time.Millisecond // between two looks at the script

// AddFault adds a fault to the script in force; its time counts from the start of the laboratory.
func (l *Lab) AddFault(f faults.Fault) error {
	if err := f.Check(l.Locations()); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.script.Locations = l.Locations()
	l.script.Faults = append(l.script.Faults, f)
	return nil
}

// StartMembers starts all members but those that a fault of the script has start late.
func (l *Lab) StartMembers() error {
	late := map[string]bool{}
	l.mu.Lock()
	for i := range l.script.Faults {
		if f := &l.script.Faults[i]; f.Kind == faults.KindDelayedStart {
			for _, name := range l.script.AffectedMembers(f) {
				late[name] = true
			}
		}
	}
	l.mu.Unlock()
	for _, m := range l.Members {
		if !late[m.Name] {
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
		if err := l.turn(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(look):
		}
	}
	return nil
}

// turn begins and ends the faults that are due.
func (l *Lab) turn() error {
	now := l.Log.Now()
	l.mu.Lock()
	var begin, end []faults.Fault
	links := false
	for i, f := range l.script.Faults {
		if now >= f.Start && !l.begun[i] {
			l.begun[i], links = true, links || f.AffectsLink()
			begin = append(begin, f)
		}
		if l.begun[i] && !l.ended[i] && f.Duration > 0 && now >= f.Start+f.Duration {
			l.ended[i], links = true, links || f.AffectsLink()
			end = append(end, f)
		}
	}
	script := faults.Script{Faults: append([]faults.Fault(nil), l.script.Faults...), Locations: l.script.Locations}
	l.mu.Unlock()
	if links {
		if err := l.Relay.SetRules(script.RulesAt(now)); err != nil {
			return fmt.Errorf("rules between processes: %w", err)
		}
	}
	for _, f := range begin {
		l.Log.Add(history.Event{Kind: history.FaultChanged, Detail: name(&f), Count: 1})
		for _, m := range script.AffectedMembers(&f) {
			l.begin(&f, l.FindMember(m))
		}
	}
	for _, f := range end {
		l.Log.Add(history.Event{Kind: history.FaultChanged, Detail: name(&f)})
		for _, m := range script.AffectedMembers(&f) {
			if err := l.end(&f, l.FindMember(m)); err != nil {
				return err
			}
		}
	}
	return nil
}

func name(f *faults.Fault) string {
	s := f.Kind + " " + f.Target
	if f.Peer != "" && f.Peer != "*" {
		s += " " + f.Peer
	}
	if f.OneWay {
		s += " one way"
	}
	return s
}

func (l *Lab) begin(f *faults.Fault, m *Member) {
	switch f.Kind {
	case faults.KindKill:
		m.Kill()
	case faults.KindPause:
		m.Signal(syscall.SIGSTOP)
	case faults.KindTerminate:
		m.Signal(syscall.SIGTERM)
	case faults.KindRestart:
		m.Kill()
		if err := m.Start(); err != nil {
			l.Log.Add(history.Event{Kind: history.ProcessChanged, Server: m.Name, Detail: "not started: " + err.Error()})
		}
	case faults.KindSlowAgent:
		m.agent.SetSlowdown(f.Ratio)
	case faults.KindUnresponsiveStore:
		l.Stores[m.Zone].SetUnresponsive(true)
	case faults.KindWedge:
		if res, err := client.Post("http://"+m.ConsoleAddr+"/drill/wedge", "", nil); err == nil {
			res.Body.Close()
		}
	case faults.KindClockSkew:
		if err := m.setClock(f.Delay); err != nil {
			l.Log.Add(history.Event{Kind: history.ProcessChanged, Server: m.Name, Detail: "not started: " + err.Error()})
		}
	}
}

// setClock starts the member's process again with another clock.
func (m *Member) setClock(off time.Duration) error {
	m.Kill()
	m.clock = off
	if err := m.WriteOperatorsFile(m.lab.key); err != nil {
		return err
	}
	return m.Start()
}

func (l *Lab) end(f *faults.Fault, m *Member) error {
	switch f.Kind {
	case faults.KindKill, faults.KindTerminate, faults.KindDelayedStart:
		m.Wait()
		return m.Start()
	case faults.KindPause:
		m.Signal(syscall.SIGCONT)
	case faults.KindSlowAgent:
		m.agent.SetSlowdown(1)
	case faults.KindUnresponsiveStore:
		l.Stores[m.Zone].SetUnresponsive(false)
	case faults.KindClockSkew:
		return m.setClock(0)
	}
	return nil
}

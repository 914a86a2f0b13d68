package fleetlab

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"falldeal/internal/fleet"
	"falldeal/lab/clients"
	"falldeal/lab/history"
)

// consoleClient sends requests to the consoles of members. It dials for each request, because a member's process may
// have been replaced since the last one.
var consoleClient = &http.Client{
	Timeout:   2 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// FleetReport returns the view of the fleet that the member's process has, from its console.
func (m *Member) FleetReport(ctx context.Context) (report fleet.Report, err error) {
	response, err := m.callConsole(ctx, http.MethodGet, "/fleet")
	if err != nil {
		return report, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report, fmt.Errorf("fleet report of %s: unexpected HTTP status %s", m.Name, response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		return report, fmt.Errorf("decode fleet report of %s: %w", m.Name, err)
	}
	return report, nil
}

// callConsole sends a request without a body to the console of the member's process. The caller must close the body
// of the response.
func (m *Member) callConsole(ctx context.Context, method, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.ConsoleAddr+path, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("create request to console of %s: %w", m.Name, err)
	}
	response, err := consoleClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("request to console of %s: %w", m.Name, err)
	}
	return response, nil
}

// WatchViews polls the views of all running members every interval until ctx ends. It records each change of the
// condition that one member reports for another.
func (l *Lab) WatchViews(ctx context.Context, interval time.Duration) {
	last := map[viewKey]string{}
	for ctx.Err() == nil {
		for _, m := range l.Members {
			l.pollView(ctx, m, last)
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// viewKey identifies the view that observer has of member.
type viewKey struct{ observer, member string }

// pollView records what has changed in the view of observer. Last holds the conditions that were recorded last, and
// is updated.
func (l *Lab) pollView(ctx context.Context, observer *Member, last map[viewKey]string) {
	if !observer.Running() {
		return
	}
	report, err := observer.FleetReport(ctx)
	if err != nil {
		return // the process is starting, paused or exiting
	}
	for i := range report.Members {
		member := &report.Members[i]
		key := viewKey{observer: observer.Name, member: member.Name}
		if last[key] == member.Condition {
			continue
		}
		last[key] = member.Condition
		l.Log.Add(history.Event{
			Kind: history.ViewChanged, Server: observer.Name, Member: member.Name, Detail: member.Condition,
		})
	}
}

// snapshotInterval is the minimum time between two snapshots of the registered servers.
const snapshotInterval = 100 * time.Millisecond

// registrySnapshot holds the servers that were registered as accepting work at one point in time.
type registrySnapshot struct {
	at    time.Duration // on the laboratory's clock
	names []string
}

// Servers returns a function that lists the members that were registered lag ago. It models front ends whose server
// lists are out of date.
func (l *Lab) Servers(lag time.Duration) clients.ServerLister {
	return func() (servers []clients.Server) {
		for _, name := range l.registered(lag) {
			if m := l.FindMember(name); m != nil {
				servers = append(servers, clients.Server{Name: name, Addr: m.FrontAddr})
			}
		}
		return servers
	}
}

// registered returns the names of the members that were registered lag ago. If no snapshot is that old, it returns those
// in the oldest one. It drops snapshots that are older than the one it returns, so all callers must use the same lag.
func (l *Lab) registered(lag time.Duration) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Log.Now()
	if n := len(l.snapshots); n == 0 || now-l.snapshots[n-1].at > snapshotInterval {
		l.snapshots = append(l.snapshots, registrySnapshot{at: now, names: l.Announce.AcceptingServers()})
	}
	for len(l.snapshots) > 1 && l.snapshots[1].at <= now-lag {
		l.snapshots = l.snapshots[1:]
	}
	return l.snapshots[0].names
}

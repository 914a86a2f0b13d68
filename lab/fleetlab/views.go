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

// consoleClient calls the consoles of members. It dials for each request, as a process may have been replaced.
var consoleClient = &http.Client{
	Timeout:   2 * time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// FleetReport asks the member's process for its view of the fleet.
func (m *Member) FleetReport(ctx context.Context) (report fleet.Report, err error) {
	response, err := m.callConsole(ctx, http.MethodGet, "/fleet")
	if err != nil {
		return report, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report, fmt.Errorf("report of %s: %s", m.Name, response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		return report, fmt.Errorf("decode report of %s: %w", m.Name, err)
	}
	return report, nil
}

// callConsole sends a request without a body to the console of the member's process. The caller closes the body of the
// response.
func (m *Member) callConsole(ctx context.Context, method, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.ConsoleAddr+path, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("console of %s: %w", m.Name, err)
	}
	response, err := consoleClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("console of %s: %w", m.Name, err)
	}
	return response, nil
}

// WatchViews polls the views of all running members until ctx ends, and logs when what one reports of another
// changes.
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

// viewKey is the view that one member has of another.
type viewKey struct{ observer, member string }

// pollView logs what has changed in the view of one member since the last conditions.
func (l *Lab) pollView(ctx context.Context, observer *Member, last map[viewKey]string) {
	if !observer.Running() {
		return
	}
	report, err := observer.FleetReport(ctx)
	if err != nil {
		return // the process is paused or about to end
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

// snapshotInterval is how often the registry is read for the lists of front ends.
const snapshotInterval = 100 * time.Millisecond

// registrySnapshot is what the announce service had registered at a time.
type registrySnapshot struct {
	at    time.Duration
	names []string
}

// Servers returns a function that lists the registered members as they were lag ago.
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

// registered returns the names that were registered lag ago, or at the first snapshot if that is later. Snapshots
// before that are dropped: all callers are expected to use the same lag.
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

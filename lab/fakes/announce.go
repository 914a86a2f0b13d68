package fakes

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// registrationTTL is how long an image server stays registered after its last report. The protocol defines it.
	registrationTTL = 3 * time.Second
	// maxReportBytes is the maximum size of a datagram of the announce protocol.
	maxReportBytes = 512
)

// report is the last report of an image server.
type report struct {
	accepting  bool
	receivedAt time.Time
}

// AnnounceService is a fake announce service: a registry that holds the last report of each image server. Its methods
// are safe for concurrent use.
type AnnounceService struct {
	mu      sync.Mutex
	reports map[string]report // by name of the image server
}

// Serve reads reports until conn is closed, and returns the connection's error. It drops malformed datagrams.
func (a *AnnounceService) Serve(conn net.PacketConn) error {
	packet := make([]byte, maxReportBytes)
	for {
		n, _, err := conn.ReadFrom(packet)
		if err != nil {
			return fmt.Errorf("read report: %w", err)
		}
		var name string
		var accepting bool
		if _, err := fmt.Sscanf(string(packet[:n]), "announce %s %t", &name, &accepting); err != nil {
			continue
		}
		a.register(name, accepting)
	}
}

func (a *AnnounceService) register(name string, accepting bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reports == nil {
		a.reports = map[string]report{}
	}
	a.reports[name] = report{accepting: accepting, receivedAt: time.Now()}
}

// AcceptingServers returns the sorted names of the image servers that are registered as accepting work.
func (a *AnnounceService) AcceptingServers() (names []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(a.reports)) {
		if last := a.reports[name]; last.accepting && time.Since(last.receivedAt) < registrationTTL {
			names = append(names, name)
		}
	}
	return names
}

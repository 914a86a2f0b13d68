package fakes

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// AnnounceService is an announce service: it notes the last word of each image server.
type AnnounceService struct {
	mu          sync.Mutex
	accepting   map[string]bool
	reportedAt  map[string]time.Time // of the last report
	reportCount int
}

// Serve reads reports until conn is closed.
func (a *AnnounceService) Serve(conn net.PacketConn) error {
	packet := make([]byte, 512)
	for {
		n, _, err := conn.ReadFrom(packet)
		if err != nil {
			return err
		}
		var name string
		var accepting bool
		if _, err := fmt.Sscanf(string(packet[:n]), "announce %s %t", &name, &accepting); err != nil {
			continue
		}
		a.mu.Lock()
		if a.accepting == nil {
			a.accepting, a.reportedAt = map[string]bool{}, map[string]time.Time{}
		}
		a.accepting[name], a.reportedAt[name] = accepting, time.Now()
		a.reportCount++
		a.mu.Unlock()
	}
}

// LastReport reports the last word of an image server, and how many reports came from all.
func (a *AnnounceService) LastReport(name string) (accepting bool, reports int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.accepting[name], a.reportCount
}

// registrationTTL is how long an image server stays listed after its last report; protocol.
const registrationTTL = 3 * time.Second

// AcceptingServers returns the names of the image servers that are listed as taking work, in order.
func (a *AnnounceService) AcceptingServers() (names []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(a.accepting)) {
		if a.accepting[name] && time.Since(a.reportedAt[name]) < registrationTTL {
			names = append(names, name)
		}
	}
	return names
}

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
	mu    sync.Mutex
	words map[string]bool
	at    map[string]time.Time // of the last report
	heard int
}

// Serve reads reports until conn is closed.
func (a *AnnounceService) Serve(conn net.PacketConn) error {
	b := make([]byte, 512)
	for {
		n, _, err := conn.ReadFrom(b)
		if err != nil {
			return err
		}
		var name string
		var accepting bool
		if _, err := fmt.Sscanf(string(b[:n]), "announce %s %t", &name, &accepting); err != nil {
			continue
		}
		a.mu.Lock()
		if a.words == nil {
			a.words, a.at = map[string]bool{}, map[string]time.Time{}
		}
		a.words[name], a.at[name] = accepting, time.Now()
		a.heard++
		a.mu.Unlock()
	}
}

// LastReport reports the last word of an image server, and how many reports came from all.
func (a *AnnounceService) LastReport(name string) (accepting bool, heard int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.words[name], a.heard
}

// lapse is how long an image server stays listed after its last report; protocol.
const lapse = 3 * time.Second

// AcceptingServers returns the names of the image servers that are listed as taking work, in order.
func (a *AnnounceService) AcceptingServers() (names []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(a.words)) {
		if a.words[name] && time.Since(a.at[name]) < lapse {
			names = append(names, name)
		}
	}
	return names
}

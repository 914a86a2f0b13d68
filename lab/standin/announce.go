package standin

import (
	"fmt"
	"net"
	"sync"
)

// Announce is an announce service: it notes the last word of each image server.
type Announce struct {
	mu    sync.Mutex
	words map[string]bool
	heard int
}

// Serve reads reports until conn is closed.
func (a *Announce) Serve(conn net.PacketConn) error {
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
			a.words = map[string]bool{}
		}
		a.words[name] = accepting
		a.heard++
		a.mu.Unlock()
	}
}

// Listed reports the last word of an image server, and how many reports came from all.
func (a *Announce) Listed(name string) (accepting bool, heard int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.words[name], a.heard
}

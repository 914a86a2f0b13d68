// Package announce reports to the announce service, which tells front ends of image servers.
package announce

import (
	"context"
	"fmt"
	"net"
	"time"

	"falldeal/internal/logging"
)

const every = 700 * time.Millisecond // an entry lapses after 3 s: three reports may be lost

// Announcer sends reports on its own, from the first Set on.
type Announcer struct {
	addr, name string
	log        *logging.Limiter
	state      chan bool
}

// New returns an Announcer of the image server called name.
func New(addr, name string, log *logging.Limiter) *Announcer {
	return &Announcer{addr: addr, name: name, log: log, state: make(chan bool, 1)}
}

// Set changes what is reported, at once. It never blocks; one goroutine may call it.
func (a *Announcer) Set(accepting bool) {
	select {
	case <-a.state: // not reported yet, and out of date
	default:
	}
	a.state <- accepting
}

// Run reports until ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	var accepting, known bool
	var conn net.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case accepting = <-a.state:
			known = true
		case <-tick.C:
		}
		if !known {
			continue
		}
		if conn == nil {
			c, err := net.Dial("udp", a.addr)
			if err != nil {
				a.log.Warn("announce", "no socket to the announce service", err)
				continue
			}
			conn = c
		}
		// An error here tells of an earlier report that found nobody there. The next one may.
		if _, err := fmt.Fprintf(conn, "announce %s %t", a.name, accepting); err != nil {
			a.log.Warn("announce", "report not sent", err)
		}
	}
}

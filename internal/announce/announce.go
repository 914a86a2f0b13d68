// Package announce reports to the announce service, which tells front ends of image servers.
package announce

import (
	"context"
	"fmt"
	"net"
	"time"

	"falldeal/internal/logging"
)

// every is short against the 3 s after which an entry lapses, so that it stays though one report in four
// is lost: fourteen in a row are not.
const every = 200 * time.Millisecond

// Announcer sends reports on its own, from the first Set on.
type Announcer struct {
	name    string
	log     *logging.Limiter
	known   bool // now holds something to report
	silent  bool
	now     report
	reports chan report
}

// report is what is reported, and where.
type report struct {
	addr      string
	accepting bool
}

// New returns an Announcer of the image server called name.
func New(addr, name string, log *logging.Limiter) *Announcer {
	return &Announcer{name: name, log: log, now: report{addr: addr}, reports: make(chan report, 1)}
}

// Set changes what is reported, at once. It never blocks; one goroutine may call it and Move.
func (a *Announcer) Set(accepting bool) {
	a.known, a.now.accepting = true, accepting
	a.tell()
}

// Move changes where that is reported.
func (a *Announcer) Move(addr string) {
	a.now.addr = addr
	if a.known {
		a.tell()
	}
}

// Silence ends all reports: another process makes them.
func (a *Announcer) Silence() {
	a.now.addr = ""
	a.tell()
	a.silent = true
}

func (a *Announcer) tell() {
	if a.silent {
		return
	}
	select {
	case <-a.reports: // not sent yet, and out of date
	default:
	}
	a.reports <- a.now
}

// Run reports until ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	var now report
	var conn net.Conn
	hangUp := func() {
		if conn != nil {
			conn.Close()
			conn = nil
		}
	}
	defer hangUp()
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-a.reports:
			if next.addr != now.addr {
				hangUp()
			}
			now = next
		case <-tick.C:
		}
		if now.addr == "" {
			continue // nothing to report yet
		}
		if conn == nil {
			c, err := net.Dial("udp", now.addr)
			if err != nil {
				a.log.Warn("announce", "no socket to the announce service", err)
				continue
			}
			conn = c
		}
		// An error here tells of an earlier report that found nobody there. The next one may.
		if _, err := fmt.Fprintf(conn, "announce %s %t", a.name, now.accepting); err != nil {
			a.log.Warn("announce", "report not sent", err)
		}
	}
}

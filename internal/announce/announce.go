// Package announce reports to the announce service, which tells front ends of image servers.
package announce

import (
	"context"
	"fmt"
	"net"
	"time"

	"falldeal/internal/logging"
)

// reportInterval is short against the 3 s after which an entry lapses, so that it stays though one report in four
// is lost: fourteen in a row are not.
const reportInterval = 200 * time.Millisecond

// Announcer sends reports on its own, from the first Set on.
type Announcer struct {
	name       string
	log        *logging.Limiter
	reportable bool // now holds something to report
	silenced   bool
	current    report
	reports    chan report
}

// report is what is reported, and where.
type report struct {
	address   string
	accepting bool
}

// New returns an Announcer of the image server called name.
func New(addr, name string, log *logging.Limiter) *Announcer {
	return &Announcer{name: name, log: log, current: report{address: addr}, reports: make(chan report, 1)}
}

// Set changes what is reported, at once. It never blocks; one goroutine may call it and Move.
func (a *Announcer) Set(accepting bool) {
	a.reportable, a.current.accepting = true, accepting
	a.publish()
}

// SetAddress changes where that is reported.
func (a *Announcer) SetAddress(addr string) {
	a.current.address = addr
	if a.reportable {
		a.publish()
	}
}

// Silence ends all reports: another process makes them.
func (a *Announcer) Silence() {
	a.current.address = ""
	a.publish()
	a.silenced = true
}

// Silent reports whether reports have ended.
func (a *Announcer) Silent() bool { return a.silenced }

func (a *Announcer) publish() {
	if a.silenced {
		return
	}
	select {
	case <-a.reports: // not sent yet, and out of date
	default:
	}
	a.reports <- a.current
}

// send sends a report. A first error tells of an earlier one that found nobody there, and takes the place of this one:
// the last word of a server that leaves would come late for it.
func (a *Announcer) send(conn net.Conn, r report) (err error) {
	for range 2 {
		if _, err = fmt.Fprintf(conn, "announce %s %t", a.name, r.accepting); err == nil {
			return nil
		}
	}
	return err
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
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-a.reports:
			if next.address != now.address {
				hangUp()
			}
			now = next
		case <-tick.C:
		}
		if now.address == "" {
			continue // nothing to report yet
		}
		if conn == nil {
			c, err := net.Dial("udp", now.address)
			if err != nil {
				a.log.Warn("announce", "no socket to the announce service", err)
				continue
			}
			conn = c
		}
		if err := a.send(conn, now); err != nil {
			a.log.Warn("announce", "report not sent", err)
		}
	}
}

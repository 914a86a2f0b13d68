// Package announce reports whether an image server accepts requests to the announce service, which tells front ends of
// image servers. A report is one UDP datagram, which may be lost; reports are repeated, and an entry of the service lapses
// 3 s after the last.
package announce

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"falldeal/internal/latest"
	"falldeal/internal/logging"

	"github.com/sirupsen/logrus"
)

const (
	// reportInterval is short against the 3 s after which an entry lapses, so that it stays though one report in four
	// is lost: fourteen in a row are not.
	reportInterval = 200 * time.Millisecond

	// maxAttempts is for the error of an earlier report, which takes the place of the next.
	maxAttempts = 2
)

// state is the life of an Announcer. It only moves on:
//
//	idle      -> reporting  by the first SetAccepting
//	any state -> stopped    by Stop
type state uint8

const (
	idle      state = iota // nothing to report yet
	reporting              // the newest report is sent and repeated
	stopped                // another process reports
)

// String returns the name of the state.
func (s state) String() string {
	switch s {
	case idle:
		return "idle"
	case reporting:
		return "reporting"
	case stopped:
		return "stopped"
	default:
		return "state(" + strconv.Itoa(int(s)) + ")"
	}
}

// Announcer sends the newest report, and repeats it. Its methods but Run are called on the server's loop and never block.
type Announcer struct {
	name    string
	log     *logging.Limiter
	state   state
	current report
	reports latest.Value[report] // for Run
}

// report is what is reported, and where.
type report struct {
	address   string // empty: nowhere
	accepting bool
}

// New returns an Announcer of the image server called name to the service at address. Nothing is sent before Run.
func New(address, name string, log *logging.Limiter) *Announcer {
	return &Announcer{name: name, log: log, current: report{address: address}, reports: latest.New[report]()}
}

// SetAccepting changes what is reported, at once.
func (a *Announcer) SetAccepting(accepting bool) {
	a.current.accepting = accepting
	if a.state == idle {
		a.state = reporting
	}
	a.publish()
}

// SetAddress changes the address that is reported to.
func (a *Announcer) SetAddress(address string) {
	a.current.address = address
	a.publish()
}

// Stop ends all reports for good: another process makes them.
func (a *Announcer) Stop() {
	if a.state == stopped {
		return
	}
	a.state = stopped
	a.reports.Set(report{accepting: a.current.accepting})
}

// Stopped reports whether reports have ended.
func (a *Announcer) Stopped() bool { return a.state == stopped }

// publish hands the report in force to Run.
func (a *Announcer) publish() {
	if a.state == reporting {
		a.reports.Set(a.current)
	}
}

// Run sends reports until ctx ends, on a goroutine of its own: at once where there is a new report, and every
// reportInterval.
func (a *Announcer) Run(ctx context.Context) {
	var newest report
	var service socket
	defer service.close()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case newest = <-a.reports.C():
			service.setAddress(newest.address)
		case <-ticker.C:
		}
		if newest.address != "" {
			a.sendTo(ctx, &service, newest)
		}
	}
}

// sendTo sends a report to the service, and logs where that fails.
func (a *Announcer) sendTo(ctx context.Context, service *socket, newest report) {
	conn, err := service.open(ctx)
	if err != nil {
		a.log.WarnFields("announce", "announce socket not opened", err, logrus.Fields{"address": newest.address})
		return
	}
	if err := a.send(conn, newest); err != nil {
		a.log.WarnFields("announce", "announce report not sent", err, logrus.Fields{"address": newest.address})
	}
}

// send sends a report. A first error may be that of an earlier report, which found nobody there: the last report of a
// server that drains would come an interval late for it.
func (a *Announcer) send(conn net.Conn, newest report) (err error) {
	for range maxAttempts {
		if _, err = fmt.Fprintf(conn, "announce %s %t", a.name, newest.accepting); err == nil {
			return nil
		}
	}
	return fmt.Errorf("send report: %w", err)
}

// socket is the UDP socket to the service, opened on first use. It belongs to Run.
type socket struct {
	address string
	conn    net.Conn // nil: not open
}

func (s *socket) setAddress(address string) {
	if address != s.address {
		s.close()
		s.address = address
	}
}

func (s *socket) open(ctx context.Context) (net.Conn, error) {
	if s.conn != nil {
		return s.conn, nil
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "udp", s.address)
	if err != nil {
		return nil, fmt.Errorf("open socket: %w", err)
	}
	s.conn = conn
	return conn, nil
}

func (s *socket) close() {
	if s.conn != nil {
		_ = s.conn.Close() // nothing can be done about an error
		s.conn = nil
	}
}

// Package announce reports to the announce service whether an image server accepts requests. Front ends find the image
// servers through that service. A report is one UDP datagram and may be lost, so reports are repeated. The service drops an
// entry 3 s after its last report.
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
	// reportInterval is short compared with the 3 s after which an entry expires: the entry expires only if 14 reports in a
	// row are lost, which is very unlikely even if one report in four is lost.
	reportInterval = 200 * time.Millisecond

	// maxAttempts is the number of attempts to send one report. The first may fail with the error of an earlier report.
	maxAttempts = 2
)

// state is the life cycle of an Announcer.
//
//	idle      -> reporting  the first SetAccepting
//	any state -> stopped    Stop
type state uint8

const (
	idle      state = iota // nothing to report yet
	reporting              // the current report is sent repeatedly
	stopped                // sends no more reports, because another process does
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

// Announcer sends the current report repeatedly. All methods except Run are called on the server's loop and do not block.
type Announcer struct {
	name    string // of the image server
	log     *logging.Limiter
	state   state
	current report               // used only on the loop
	reports latest.Value[report] // hands the current report to Run
}

// report is the content of a report and its destination.
type report struct {
	address   string // of the service; empty: send nothing
	accepting bool
}

// New returns an Announcer that reports for the image server called name to the service at address. It sends nothing before
// Run is called.
func New(address, name string, log *logging.Limiter) *Announcer {
	return &Announcer{name: name, log: log, current: report{address: address}, reports: latest.New[report]()}
}

// SetAccepting sets whether the server accepts requests, and reports that at once unless Stop was called.
func (a *Announcer) SetAccepting(accepting bool) {
	a.current.accepting = accepting
	if a.state == idle {
		a.state = reporting
	}
	a.publish()
}

// SetAddress sets the address of the service. The current report, if any, is sent there at once.
func (a *Announcer) SetAddress(address string) {
	a.current.address = address
	a.publish()
}

// Stop ends all reports permanently, because another process sends them from now on.
func (a *Announcer) Stop() {
	if a.state == stopped {
		return
	}
	a.state = stopped
	a.reports.Set(report{accepting: a.current.accepting}) // without an address, so Run sends nothing more
}

// Stopped reports whether Stop was called.
func (a *Announcer) Stopped() bool { return a.state == stopped }

// publish hands the current report to Run.
func (a *Announcer) publish() {
	if a.state == reporting {
		a.reports.Set(a.current)
	}
}

// Run sends each new report at once and the current one every reportInterval, until ctx ends. It needs its own goroutine.
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

// sendTo sends a report to the service and logs a failure.
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

// send sends a report. If no service received an earlier report, the kernel returns that error for the next send, although
// the service may be up again. A failed send is therefore repeated at once; otherwise the last report of a draining server
// would be delayed by reportInterval.
func (a *Announcer) send(conn net.Conn, newest report) (err error) {
	for range maxAttempts {
		if _, err = fmt.Fprintf(conn, "announce %s %t", a.name, newest.accepting); err == nil {
			return nil
		}
	}
	return fmt.Errorf("send report: %w", err)
}

// socket is the UDP socket to the service. It is opened on first use and belongs to Run.
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
		_ = s.conn.Close() // an error has no consequence
		s.conn = nil
	}
}

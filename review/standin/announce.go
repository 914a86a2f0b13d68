package standin

import "net"

const reportBytes = 256 // more than any report has

// Announce is a stand-in of the announce service, which records changes of what is reported.
type Announce struct {
	conn   *net.UDPConn
	record *Record
}

// NewAnnounce returns an announce service on a free port.
func NewAnnounce(record *Record) *Announce {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Must(err)
	service := &Announce{conn: conn, record: record}
	go service.serve()
	return service
}

// Address returns the address of the service.
func (a *Announce) Address() string { return a.conn.LocalAddr().String() }

// Close ends the service.
func (a *Announce) Close() { closeQuietly(a.conn) }

func (a *Announce) serve() {
	last := ""
	buffer := make([]byte, reportBytes)
	for {
		n, _, err := a.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if report := string(buffer[:n]); report != last {
			a.record.Add("announce service got %q", report)
			last = report
		}
	}
}

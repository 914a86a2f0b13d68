package console

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"
	"testing"
	"time"

	"falldeal/internal/fleet"
	"falldeal/lab/golden"

	"github.com/stretchr/testify/require"
)

// drainingInstance returns an error from every method, as a server does while it drains to stop.
type drainingInstance struct{}

var errDraining = errors.New("the server is draining")

func (drainingInstance) Ready(context.Context) (bool, error) { return false, errDraining }
func (drainingInstance) AppendMetrics(_ context.Context, b []byte) ([]byte, error) {
	return b, errDraining
}
func (drainingInstance) Deregister(context.Context) error { return errDraining }
func (drainingInstance) Reregister(context.Context) error { return errDraining }

var dateHeader = regexp.MustCompile(`Date: [^\r]*`)

// sendRaw makes a request on a new connection and returns all bytes of the response, with the date replaced.
func sendRaw(t *testing.T, addr, method, path string) string {
	t.Helper()
	conn := dial(t, addr)
	_, err := io.WriteString(conn, method+" "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	b, err := io.ReadAll(conn)
	require.NoError(t, err)
	return strings.ReplaceAll(dateHeader.ReplaceAllString(string(b), "Date: (date)"), "\r\n", "\n")
}

// Operators' scripts read the responses. The status line, headers and body of every endpoint, in each state of the server,
// must not change.
func TestGoldenResponses(t *testing.T) {
	page := Page{Pattern: "GET /fleet", Type: "application/json", Body: func() []byte { return []byte("{}\n") }}
	wedge := Page{Pattern: "POST /drill/wedge", Type: "text/plain; charset=utf-8",
		Body: func() []byte { return []byte("done\n") }}
	busy := testTimeouts
	busy.handle = time.Millisecond
	calls := []struct{ method, path string }{
		{"GET", "/ready"},
		{"GET", "/metrics"},
		{"POST", "/drain"},
		{"GET", "/ready"},
		{"POST", "/drain"},
		{"POST", "/undrain"},
		{"GET", "/ready"},
		{"GET", "/fleet"},
		{"POST", "/drill/wedge"},
		{"HEAD", "/ready"},
		{"POST", "/ready"},
		{"POST", "/metrics"},
		{"GET", "/drain"},
		{"GET", "/undrain"},
		{"POST", "/fleet"},
		{"GET", "/drill/wedge"},
		{"GET", "/"},
		{"GET", "/ready/"},
	}
	var got strings.Builder
	for _, console := range []struct{ state, addr string }{
		{"serving, in a fleet", startConsole(t, &fakeInstance{}, testTimeouts, page, wedge)},
		{"serving, in no fleet", startConsole(t, &fakeInstance{}, testTimeouts)},
		{"leaving", startConsole(t, drainingInstance{}, testTimeouts, page)},
		{"busy", startConsole(t, &fakeInstance{hangs: true}, busy, page)},
	} {
		for _, call := range calls {
			response := sendRaw(t, console.addr, call.method, call.path)
			fmt.Fprintf(&got, "== %s: %s %s\n%s\n", console.state, call.method, call.path, response)
		}
	}
	golden.RequireText(t, "calls", got.String())
}

// snapshot returns a snapshot with a member of every liveness in every state.
func snapshot() *fleet.Snapshot {
	count := [fleet.Left + 1]int{1, 2, 3, 4, 5, 6, 7}
	view := &fleet.Snapshot{
		At: 9 * time.Second, LastReceived: 8 * time.Second, Self: "n00", Position: fleet.PartiallyConnected,
		Zones: []fleet.Zone{{Region: "belgium", Zone: "mechelen", Known: 4, Count: count}},
		Total: fleet.Zone{Known: 11, Count: count},
	}
	for liveness := fleet.Unconfirmed; liveness <= fleet.Left; liveness++ {
		for state := fleet.Starting; state <= fleet.Stopped+1; state++ {
			n := len(view.Members)
			record := &fleet.Record{Name: fmt.Sprintf("n%02d", n), Run: uint64(n + 1), Incarnation: uint64(n + 2),
				Addr: "10.0.0.1:7946", Region: "belgium", Zone: "mechelen", Version: "1.2.3", Config: 0xabc, State: state}
			view.Members = append(view.Members, fleet.Member{Liveness: liveness, Self: n == 0, Record: record,
				RecordedAt: time.Duration(n) * 10 * time.Millisecond, Since: time.Second})
		}
	}
	view.Members[0].Load = fleet.Load{Capacity: 4, Utilization: 0.5, InFlight: 6, CallQuota: 5.9, UnservedRatio: 0.25,
		MeanCalls: 1.5, ServiceRate: 3.5, Demand: "o", Attempts: 40, RetryRatio: 0.125, Threshold: 12.5, StoreState: 2, StoreID: 3,
		ProbeRound: 4, Aggregate: "s"}
	view.Members[8].Load = fleet.Load{Capacity: 4, Utilization: 0.5, InFlight: 6, CallQuota: 5.9, MeanCalls: 1.5,
		ServiceRate: 3.5, Attempts: 40, RetryRatio: 0.125, Threshold: 12.5}
	return view
}

// Scripts and other versions of falldeal-fleet read the body of /fleet. Its keys, their order, the keys that are omitted if
// zero, and the names of positions, conditions and states must not change.
func TestGoldenFleetReport(t *testing.T) {
	var got strings.Builder
	alone := *snapshot()
	alone.Position, alone.Members, alone.Zones = fleet.Alone, nil, nil
	full := snapshot().Report(10 * time.Second)
	full.Counters = map[string]int64{"words": 3}
	reports := []fleet.Report{full, alone.Report(10 * time.Second), {}}
	for position := fleet.Alone; position <= fleet.Partitioned; position++ {
		reports = append(reports, fleet.Report{Position: position.ReportName()})
	}
	for _, r := range reports {
		text, err := json.MarshalIndent(r, "", " ")
		require.NoError(t, err)
		fmt.Fprintf(&got, "%s\n", text)
	}
	golden.RequireText(t, "fleet", got.String())
}

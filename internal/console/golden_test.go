package console

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"falldeal/internal/fleet"
	"falldeal/internal/logging"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files anew")

// requireGolden compares got, all cases of a table, byte for byte with the golden file of that name.
func requireGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// drainingInstance answers every call with an error, as a server does that is told to leave.
type drainingInstance struct{}

var errDraining = errors.New("the server is leaving")

func (drainingInstance) Ready(context.Context) (bool, error) { return false, errDraining }
func (drainingInstance) AppendMetrics(_ context.Context, b []byte) ([]byte, error) {
	return b, errDraining
}
func (drainingInstance) Deregister(context.Context) error { return errDraining }
func (drainingInstance) Reregister(context.Context) error { return errDraining }

// startConsoleWithPages answers calls about o until the test is over.
func startConsoleWithPages(t *testing.T, instance Instance, limits timeouts, pages ...Page) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	log, _ := test.NewNullLogger()
	go func() { served <- limits.serve(ctx, ln, instance, logging.NewLimiter(log), pages...) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-served) })
	return ln.Addr().String()
}

var (
	dateHeader = regexp.MustCompile(`Date: [^\r]*`)
)

// sendRaw returns all bytes that come back for one call, but for the date.
func sendRaw(t *testing.T, addr, method, path string) string {
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(conn, method+" "+path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	b, err := io.ReadAll(conn)
	require.NoError(t, err)
	return strings.ReplaceAll(dateHeader.ReplaceAllString(string(b), "Date: (date)"), "\r\n", "\n")
}

// Status line, headers and body of every call, by the state of the server.
func TestGoldenCalls(t *testing.T) {
	page := Page{Pattern: "GET /fleet", Type: "application/json", Do: func() []byte { return []byte("{}\n") }}
	wedge := Page{Pattern: "POST /drill/wedge", Type: "text/plain; charset=utf-8", Do: func() []byte { return []byte("done\n") }}
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
		{"serving, in a fleet", startConsoleWithPages(t, &fakeInstance{}, testTimeouts, page, wedge)},
		{"serving, in no fleet", startConsoleWithPages(t, &fakeInstance{}, testTimeouts)},
		{"leaving", startConsoleWithPages(t, drainingInstance{}, testTimeouts, page)},
		{"busy", startConsoleWithPages(t, &fakeInstance{hangs: true}, busy, page)},
	} {
		for _, call := range calls {
			fmt.Fprintf(&got, "== %s: %s %s\n%s\n", console.state, call.method, call.path, sendRaw(t, console.addr, call.method, call.path))
		}
	}
	requireGolden(t, "calls", got.String())
}

// snapshot is one with a member in every standing and in every state.
func snapshot() *fleet.Snapshot {
	view := &fleet.Snapshot{At: 9 * time.Second, LastReceived: 8 * time.Second, Self: "n00", Position: fleet.PartiallyConnected,
		Zones: []fleet.Zone{{Region: "belgium", Zone: "mechelen", Known: 4, Count: [fleet.Left + 1]int{1, 2, 3, 4, 5, 6, 7}}},
		Total: fleet.Zone{Known: 11, Count: [fleet.Left + 1]int{1, 2, 3, 4, 5, 6, 7}}}
	for standing := fleet.Unmet; standing <= fleet.Left; standing++ {
		for state := fleet.Starting; state <= fleet.Stopped+1; state++ {
			n := len(view.Members)
			view.Members = append(view.Members, fleet.Member{Liveness: standing, Self: n == 0, RecordedAt: time.Duration(n) * 10 * time.Millisecond,
				Since: time.Second, Record: &fleet.Record{Name: fmt.Sprintf("n%02d", n), Run: uint64(n + 1), Incarnation: uint64(n + 2),
					Addr: "10.0.0.1:7946", Region: "belgium", Zone: "mechelen", Version: "1.2.3", Config: 0xabc, State: state}})
		}
	}
	view.Members[0].Load = fleet.Load{Capacity: 4, Busy: 0.5, InFlight: 6, CallQuota: 5.9, ShedRatio: 0.25, MeanCalls: 1.5, ServiceRate: 3.5, Demand: "o", Attempts: 40,
		RetryRatio: 0.125, Threshold: 12.5, StoreState: 2, StoreID: 3, ProbeRound: 4, Aggregate: "s"}
	view.Members[8].Load = fleet.Load{Capacity: 4, Busy: 0.5, InFlight: 6, CallQuota: 5.9, MeanCalls: 1.5, ServiceRate: 3.5, Attempts: 40, RetryRatio: 0.125, Threshold: 12.5}
	return view
}

// The body of /fleet: keys, their order, which are left out when zero, and the words for positions, standings and states.
func TestGoldenFleetReport(t *testing.T) {
	var got strings.Builder
	alone := *snapshot()
	alone.Position, alone.Members, alone.Zones = fleet.Alone, nil, nil
	full := snapshot().Report(10 * time.Second)
	full.Counters = map[string]int64{"words": 3}
	reports := []fleet.Report{full, alone.Report(10 * time.Second), {}}
	for position := fleet.Alone; position <= fleet.Partitioned; position++ {
		reports = append(reports, fleet.Report{Position: position.String()})
	}
	for _, r := range reports {
		text, err := json.MarshalIndent(r, "", " ")
		require.NoError(t, err)
		fmt.Fprintf(&got, "%s\n", text)
	}
	requireGolden(t, "fleet", got.String())
}

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

// leaving answers every call with an error, as a server does that is told to leave.
type leaving struct{}

var errLeaving = errors.New("the server is leaving")

func (leaving) Ready(context.Context) (bool, error)                       { return false, errLeaving }
func (leaving) AppendMetrics(_ context.Context, b []byte) ([]byte, error) { return b, errLeaving }
func (leaving) Deregister(context.Context) error                          { return errLeaving }
func (leaving) Reregister(context.Context) error                          { return errLeaving }

// serving answers calls about o until the test is over.
func serving(t *testing.T, o Instance, l limits, pages ...Page) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	log, _ := test.NewNullLogger()
	go func() { over <- l.serve(ctx, ln, o, logging.NewLimiter(log), pages...) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-over) })
	return ln.Addr().String()
}

var (
	dateHeader = regexp.MustCompile(`Date: [^\r]*`)
)

// answerTo returns all bytes that come back for one call, but for the date.
func answerTo(t *testing.T, addr, method, path string) string {
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(patience)))
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
	busy := patient
	busy.answer = time.Millisecond
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
	for _, s := range []struct{ state, addr string }{
		{"serving, in a fleet", serving(t, &operated{}, patient, page, wedge)},
		{"serving, in no fleet", serving(t, &operated{}, patient)},
		{"leaving", serving(t, leaving{}, patient, page)},
		{"busy", serving(t, &operated{hangs: true}, busy, page)},
	} {
		for _, c := range calls {
			fmt.Fprintf(&got, "== %s: %s %s\n%s\n", s.state, c.method, c.path, answerTo(t, s.addr, c.method, c.path))
		}
	}
	requireGolden(t, "calls", got.String())
}

// snapshot is one with a member in every standing and in every state.
func snapshot() *fleet.Snapshot {
	s := &fleet.Snapshot{At: 9 * time.Second, LastReceived: 8 * time.Second, Self: "n00", Position: fleet.PartiallyConnected,
		Zones: []fleet.Zone{{Region: "belgium", Zone: "mechelen", Known: 4, Count: [fleet.Left + 1]int{1, 2, 3, 4, 5, 6, 7}}},
		Total: fleet.Zone{Known: 11, Count: [fleet.Left + 1]int{1, 2, 3, 4, 5, 6, 7}}}
	for standing := fleet.Unmet; standing <= fleet.Left; standing++ {
		for state := fleet.Starting; state <= fleet.Stopped+1; state++ {
			n := len(s.Members)
			s.Members = append(s.Members, fleet.Member{Liveness: standing, Self: n == 0, RecordedAt: time.Duration(n) * 10 * time.Millisecond,
				Since: time.Second, Record: &fleet.Record{Name: fmt.Sprintf("n%02d", n), Run: uint64(n + 1), Incarnation: uint64(n + 2),
					Addr: "10.0.0.1:7946", Region: "belgium", Zone: "mechelen", Version: "1.2.3", Config: 0xabc, State: state}})
		}
	}
	s.Members[0].Load = fleet.Load{Capacity: 4, Busy: 0.5, InFlight: 6, CallQuota: 5.9, ShedRatio: 0.25, MeanCalls: 1.5, ServiceRate: 3.5, Demand: "o", Attempts: 40,
		RetryRatio: 0.125, Threshold: 12.5, StoreState: 2, StoreID: 3, ProbeRound: 4, Aggregate: "s"}
	s.Members[8].Load = fleet.Load{Capacity: 4, Busy: 0.5, InFlight: 6, CallQuota: 5.9, MeanCalls: 1.5, ServiceRate: 3.5, Attempts: 40, RetryRatio: 0.125, Threshold: 12.5}
	return s
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

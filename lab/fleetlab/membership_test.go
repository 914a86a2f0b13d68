package fleetlab

import (
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"falldeal/internal/fleet"
	"falldeal/lab/clients"
	"falldeal/lab/faults"
	"falldeal/lab/history"

	"github.com/stretchr/testify/require"
)

// Guards against wrong membership views: a partitioned zone, a process killed during the partition, a paused process
// and a restarted process must each be reported with the right condition by every member that can know it. After
// recovery all members must agree, and the recorded history must satisfy all rules. The fleet has six processes in
// three zones, under load.
func TestZonePartitionAndLostProcesses(t *testing.T) {
	lab := startLab(t, func(*Options) {})
	all := memberNames(6)
	lab.requireFullyConnected(t, all)

	stopLoad := lab.generateLoad(3, 60,
		clients.Policy{MaxAttempts: 3}, clients.Policy{RouteByKey: true, MaxAttempts: 3, HonorRetryAfter: true})
	defer stopLoad()

	majority, isolated := []string{"n0", "n1", "n3", "n4"}, []string{"n2", "n5"}
	heal := lab.inject(t, faults.Fault{Kind: faults.KindPartition, Target: "zone:mechelen", Peer: "*"})
	lab.requireViews(t, majority, slices.Concat(serving(majority...), unreachable(isolated...),
		[]expectation{zone("mechelen", zoneUnreachable), position(fleet.PartiallyConnected)})...)
	lab.requireViews(t, isolated, slices.Concat(serving(isolated...), unreachable("n0", "n4"),
		[]expectation{position(fleet.Partitioned)})...)

	lab.FindMember("n4").Kill()
	n4Failed := member("n4", history.ConditionFailed)
	lab.requireViews(t, without(majority, "n4"), n4Failed, member("n2", history.ConditionUnreachable),
		member("n0", history.ConditionServing))
	lab.requireViews(t, isolated, unreachable("n4")...) // the partition hides the failure from them

	heal()
	live := without(all, "n4")
	lab.requireViews(t, live, append(serving(live...), n4Failed,
		zone("mechelen", zoneReachable), position(fleet.PartiallyConnected))...)

	resume := lab.inject(t, faults.Fault{Kind: faults.KindPause, Target: "n1", Duration: time.Hour})
	lab.requireViews(t, without(live, "n1"), member("n1", history.ConditionStalled), n4Failed)
	resume()
	lab.requireViews(t, live, append(serving(live...), n4Failed)...)

	require.NoError(t, lab.FindMember("n4").Start(t.Context()))
	isFullyConnected := func() bool { return lab.FindMember("n0").isInPosition(t.Context(), fleet.FullyConnected) }
	require.Eventually(t, isFullyConnected, waitTimeout, time.Second/10)
	lab.requireViews(t, all, position(fleet.FullyConnected))

	stopLoad()
	lab.requireNoViolations(t)
	require.NotZero(t, history.SummarizeRequests(lab.Log.Events())[""].Served)
}

// Guards against two false failures. A process whose event loop is blocked must be reported as stalled, not as
// failed. A member whose clock is an hour ahead or behind must rejoin the fleet, also after a restart under the same
// name.
func TestStalledLoopAndClockSkew(t *testing.T) {
	lab := startLab(t, func(o *Options) { o.Members, o.Zones = 5, []string{"z0", "z1"} })
	all := memberNames(5)
	lab.requireFullyConnected(t, all)
	lab.inject(t, faults.Fault{Kind: faults.KindStall, Target: "n3"})
	lab.requireViews(t, without(all, "n3"), member("n3", history.ConditionStalled), position(fleet.PartiallyConnected))
	lab.requireFullyConnected(t, all)
	endAhead := lab.inject(t, faults.Fault{Kind: faults.KindClockSkew, Target: "n1", Delay: time.Hour})
	endBehind := lab.inject(t, faults.Fault{Kind: faults.KindClockSkew, Target: "n2", Delay: -time.Hour})
	lab.requireFullyConnected(t, all)
	endAhead() // the next incarnation number is an hour behind the one that the others know
	endBehind()
	lab.requireFullyConnected(t, all)
	lab.requireNoViolations(t)
}

// Malformed messages and messages without the fleet's key must be counted and dropped, without an effect on
// membership. A key rotation must not partition the fleet while members encrypt with different keys, as long as all
// know both.
func TestForeignTrafficAndKeyRotation(t *testing.T) {
	lab := startLab(t, func(o *Options) { o.Members, o.Zones = 3, []string{"z0"} })
	all := memberNames(3)
	lab.requireFullyConnected(t, all)
	sendForeignTraffic(t, lab.Members[0])
	lab.requireFullyConnected(t, all)

	first, second := lab.Key(), strings.Repeat("5a", 32)
	for _, keys := range [][]string{{first, second}, {second, first}, {second}} {
		for _, m := range lab.Members {
			require.NoError(t, m.WriteOperatorsFile(keys...))
			m.Signal(syscall.SIGHUP)
		}
		lab.requireFullyConnected(t, all)
	}

	last := lab.Members[2]
	require.NoError(t, last.WriteOperatorsFile(first)) // the others no longer accept this key
	last.Kill()
	require.NoError(t, last.Start(t.Context()))
	require.Eventually(t, func() bool { return last.isInPosition(t.Context(), fleet.Alone) }, waitTimeout, time.Second/10)
	lab.requireViews(t, all[:2], serving("n0", "n1")...)
	require.NoError(t, last.WriteOperatorsFile(second))
	last.Signal(syscall.SIGHUP)
	lab.requireFullyConnected(t, all)
}

// sendForeignTraffic sends malformed messages to a member until it has counted at least 8 of them.
func sendForeignTraffic(t *testing.T, target *Member) {
	t.Helper()
	udp, err := (&net.Dialer{}).DialContext(t.Context(), "udp", target.GossipListenAddr)
	require.NoError(t, err)
	defer udp.Close()
	tcp, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", target.GossipListenAddr)
	require.NoError(t, err)
	defer tcp.Close()
	_, err = tcp.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		for _, packet := range [][]byte{{0}, []byte("noise"), make([]byte, 60000), {1, 2, 3}} {
			_, _ = udp.Write(packet) // lost packets are sent again until the counters suffice
		}
		report, err := target.FleetReport(t.Context())
		return err == nil && report.Counters["strangers"]+report.Counters["spoilt"] >= 8
	}, waitTimeout, 100*time.Millisecond)
}

// A server that is drained and terminated must be reported as left, not as failed. A restart with an invalid
// operators' file must fail.
func TestGracefulLeaveAndInvalidOperatorsFiles(t *testing.T) {
	lab := startLab(t, func(o *Options) { o.Members, o.Zones = 3, []string{"z0"} })
	all := memberNames(3)
	lab.requireViews(t, all, position(fleet.FullyConnected))
	leaving := lab.Members[1]
	response, err := leaving.callConsole(t.Context(), http.MethodPost, "/drain")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	lab.requireViews(t, all, member("n1", history.ConditionDraining))
	leaving.Signal(syscall.SIGTERM)
	leaving.Wait()
	require.False(t, leaving.Running())
	lab.requireViews(t, without(all, "n1"), member("n1", history.ConditionLeft), position(fleet.FullyConnected))

	output := lab.runProgram(t, "fleet", "status", "--check", "--console", lab.Members[0].ConsoleAddr)
	require.Contains(t, output, "fleet as seen by n0: fully connected")
	output = lab.runProgram(t, "fleet", "members", "--console", lab.Members[0].ConsoleAddr)
	require.Regexp(t, `n1 +z0 +left`, output)
	lab.requireInvalidFilesRejected(t, leaving)
	require.Greater(t, fleet.MaxFreshAge(3), fleet.PublishInterval(3))
}

// runProgram runs a command of the shipped program and returns its output. The command must succeed.
func (l *Lab) runProgram(t *testing.T, args ...string) string {
	t.Helper()
	output, err := exec.CommandContext(t.Context(), l.options.Binary, args...).CombinedOutput()
	require.NoError(t, err, "%s", output)
	return string(output)
}

// requireInvalidFilesRejected starts a stopped member with an invalid value or an unknown key in its operators' file.
// Each start must fail with an error that names the key.
func (l *Lab) requireInvalidFilesRejected(t *testing.T, stopped *Member) {
	t.Helper()
	path := filepath.Join(stopped.dir, operatorsFile)
	valid, err := os.ReadFile(path)
	require.NoError(t, err)
	for key, replacement := range map[string][2]string{
		"fleet.probe_every": {`"500ms"`, `"5ms"`},
		"fleet.speed":       {"[fleet]", "[fleet]\nspeed = 5"},
		"fleet.listen":      {stopped.GossipListenAddr, l.Members[0].GossipListenAddr},
	} {
		invalid := strings.Replace(string(valid), replacement[0], replacement[1], 1)
		require.NoError(t, os.WriteFile(path, []byte(invalid), 0o600))
		config := filepath.Join(stopped.dir, configFile)
		cmd := exec.CommandContext(t.Context(), l.options.Binary, "serve", "--config", config, "--operators", path)
		output, err := cmd.CombinedOutput()
		require.Error(t, err)
		require.Contains(t, string(output), key)
	}
}

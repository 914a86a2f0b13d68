package gossip

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"falldeal/internal/fleet"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the golden files from what the code produces")

const goldenFrames = "testdata/frames.hex"

// beforeMaxAge is beyond the greatest age that a word can tell, so that the bytes do not depend on when a test runs.
const beforeMaxAge = -100 * 24 * time.Hour

// requireGolden compares what the code produces now with a golden file.
func requireGolden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// readFrames reads a golden file of frames: a line for each, with its name and its bytes in hex digits.
func readFrames(t *testing.T, path string) map[string][]byte {
	t.Helper()
	file, err := os.ReadFile(path)
	require.NoError(t, err)
	frames := map[string][]byte{}
	for line := range strings.Lines(string(file)) {
		name, digits, found := strings.Cut(strings.TrimSpace(line), ": 0x")
		require.True(t, found, line)
		require.NotContains(t, frames, name)
		frames[name], err = hex.DecodeString(digits)
		require.NoError(t, err, name)
	}
	return frames
}

func goldenRecords() []fleet.Record {
	return []fleet.Record{
		{Name: "n2", Run: 8, Incarnation: 3, Seq: 4, Up: time.Minute, Addr: "10.0.0.2:7946", Region: "eu", Zone: "eu-a", Version: "1.2.3",
			Config: 9, State: fleet.Serving, Load: fleet.Load{Capacity: 4, Busy: 0.5, InFlight: 3}},
		{Name: "n3", Run: 9, Seq: 1, State: fleet.Stopped, Load: fleet.Load{Busy: -1}},
	}
}

// newGoldenFleet returns a process's part in a fleet that has no sockets and does not run.
func newGoldenFleet(t *testing.T) *Fleet {
	t.Helper()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	member, err := New(Config{Place: fleet.Place{Name: "n1", Addr: "10.0.0.1:7946", Region: "eu", Zone: "eu-a", Version: "1.2.3", Run: 0x1a2b},
		Listen: "10.0.0.1:7946", Limits: fleet.Limits{Members: 10, ForgetAfter: time.Hour}, ProbeInterval: time.Second, Size: 1}, log)
	require.NoError(t, err)
	return member
}

// snapshotOf has the records as members that are alive, told so long ago that their age is the greatest.
func snapshotOf(records []fleet.Record, liveness fleet.Liveness) *fleet.Snapshot {
	snapshot := &fleet.Snapshot{Self: "n1"}
	for i := range records {
		snapshot.Members = append(snapshot.Members, fleet.Member{Record: &records[i], Liveness: liveness, RecordedAt: beforeMaxAge})
	}
	return snapshot
}

// sentFrames are the frames that a process hands to memberlist, by name.
func sentFrames(t *testing.T) map[string][]byte {
	member, records := newGoldenFleet(t), goldenRecords()
	frames := map[string][]byte{}
	now := func() time.Duration { return 1500 * time.Millisecond }
	frames["broadcast"] = (&recordUpdate{records[0], 0, now}).Message()

	member.Send(&fleet.Member{Record: &records[0]}, []byte("payload"))
	direct := <-member.directMessages
	require.Equal(t, memberlist.Address{Addr: "10.0.0.2:7946", Name: "n2/0000000000000008"}, direct.to)
	frames["message to one member"] = direct.payload

	member.snapshot.Store(snapshotOf(records, fleet.Alive))
	frames["state for a newcomer"] = delegate{member}.LocalState(true)
	member.snapshot.Store(snapshotOf(records[:1], fleet.Alive))
	frames["state in a later exchange"] = delegate{member}.LocalState(false)
	member.snapshot.Store(snapshotOf(records, fleet.Unmet))
	frames["state without members that were met"] = delegate{member}.LocalState(true)
	frames["metadata of a node"] = delegate{member}.NodeMeta(memberlist.MetaMaxSize)
	return frames
}

var frameNames = []string{"broadcast", "message to one member", "state for a newcomer", "state in a later exchange",
	"state without members that were met", "metadata of a node"}

// What goes to other members must stay as it is: they may be of another version.
func TestGoldenFramesWritten(t *testing.T) {
	frames := sentFrames(t)
	require.Len(t, frames, len(frameNames))
	var got strings.Builder
	for _, name := range frameNames {
		require.Contains(t, frames, name)
		fmt.Fprintf(&got, "%s: 0x%x\n", name, frames[name])
	}
	requireGolden(t, goldenFrames, got.String())
}

// Frames that were written before must still be read.
func TestGoldenFramesRead(t *testing.T) {
	frames, records, member := readFrames(t, goldenFrames), goldenRecords(), newGoldenFleet(t)
	require.Len(t, frames, len(frameNames))

	delegate{member}.NotifyMsg(frames["broadcast"])
	requireQueuedUpdates(t, member, records[:1])
	delegate{member}.MergeRemoteState(frames["state for a newcomer"], true)
	requireQueuedUpdates(t, member, records)
	delegate{member}.MergeRemoteState(frames["state in a later exchange"], false)
	requireQueuedUpdates(t, member, records[:1])
	delegate{member}.MergeRemoteState(frames["state without members that were met"], true)
	requireQueuedUpdates(t, member, nil)

	var received []string
	member.OnMessage(func(b []byte) { received = append(received, string(b)) })
	delegate{member}.NotifyMsg(frames["message to one member"])
	require.Equal(t, []string{"payload"}, received)
	requireQueuedUpdates(t, member, nil)
	require.Zero(t, member.Counters.Malformed.Load())
}

// requireQueuedUpdates takes the words that wait for the keeper, and compares their records.
func requireQueuedUpdates(t *testing.T, f *Fleet, want []fleet.Record) {
	t.Helper()
	var got []fleet.Record
	for len(f.updates) > 0 {
		got = append(got, (<-f.updates).record)
	}
	require.Equal(t, want, got)
}

// What memberlist is told decides whether two members understand each other.
func TestGoldenSettings(t *testing.T) {
	config := newGoldenFleet(t).memberlistConfig()
	var got strings.Builder
	fmt.Fprintf(&got, "name: %s\nadvertised: %s port %d\n", config.Name, config.AdvertiseAddr, config.AdvertisePort)
	fmt.Fprintf(&got, "protocol: %d\ndelegate protocol: %d to %d, %d\n", config.ProtocolVersion,
		config.DelegateProtocolMin, config.DelegateProtocolMax, config.DelegateProtocolVersion)
	fmt.Fprintf(&got, "label: %q\ncompression: %v\nencryption: %v\n", config.Label, config.EnableCompression, config.Keyring != nil)
	fmt.Fprintf(&got, "verifies what comes in: %v, and goes out: %v\n", config.GossipVerifyIncoming, config.GossipVerifyOutgoing)
	requireGolden(t, "testdata/settings.txt", got.String())
}

// setCounters gives each counter another value.
func setCounters(c *Counters) {
	for i, counter := range []*atomic.Int64{
		&c.PacketsOut, &c.BytesOut, &c.Streams, &c.StreamBytes, &c.Updates, &c.NewUpdates, &c.Malformed, &c.ForeignPackets, &c.Overflow,
		&c.Calls, &c.CallsFailed, &c.Direct, &c.Suspicions, &c.Objections,
	} {
		counter.Store(int64(i + 1))
	}
}

// newGoldenPublishedFleet has something of all that is published and does not depend on when a test runs: members told of
// themselves in what is the future, so that their age is 0, or so long ago that they are stale.
func newGoldenPublishedFleet(t *testing.T) *Fleet {
	member, records := newGoldenFleet(t), goldenRecords()
	setCounters(&member.Counters)
	snapshot := snapshotOf(records, fleet.Alive)
	snapshot.Members[0].RecordedAt, snapshot.Members[0].Since = time.Hour, time.Hour
	snapshot.Members[1].RecordedAt, snapshot.Members[1].Since, snapshot.Members[1].Liveness = time.Hour, time.Hour, fleet.Left
	snapshot.Zones = []fleet.Zone{{Region: "eu", Zone: "eu-a", Known: 1}}
	snapshot.Zones[0].Count[fleet.Alive] = 1
	snapshot.Total.Known = 28
	for liveness := fleet.Unmet; liveness <= fleet.Left; liveness++ {
		snapshot.Total.Count[liveness] = int(liveness) + 1
	}
	member.snapshot.Store(snapshot)
	return member
}

// The page of the console is read by scripts and by falldeal-fleet of other versions.
func TestGoldenPage(t *testing.T) {
	page := newGoldenPublishedFleet(t).Page()
	require.Equal(t, "GET /fleet", page.Pattern)
	require.Equal(t, "application/json", page.Type)
	requireGolden(t, "testdata/page.json", string(page.Do()))
}

// The figures go to the operators' statistics by these names.
func TestGoldenMetrics(t *testing.T) {
	member := newGoldenPublishedFleet(t)
	got := string(member.AppendMetrics([]byte("before:1|g\n")))
	stale := snapshotOf(goldenRecords()[:1], fleet.Alive)
	member.snapshot.Store(stale)
	got += "---\n" + string(member.AppendMetrics(nil))
	requireGolden(t, "testdata/figures.txt", got)
}

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

// longAgo is beyond the greatest age that a word can tell, so that the bytes do not depend on when a test runs.
const longAgo = -100 * 24 * time.Hour

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
	f, err := New(Config{Place: fleet.Place{Name: "n1", Addr: "10.0.0.1:7946", Region: "eu", Zone: "eu-a", Version: "1.2.3", Run: 0x1a2b},
		Listen: "10.0.0.1:7946", Limits: fleet.Limits{Members: 10, ForgetAfter: time.Hour}, ProbeInterval: time.Second, Size: 1}, log)
	require.NoError(t, err)
	return f
}

// snapshotOf has the records as members that are alive, told so long ago that their age is the greatest.
func snapshotOf(records []fleet.Record, standing fleet.Liveness) *fleet.Snapshot {
	s := &fleet.Snapshot{Self: "n1"}
	for i := range records {
		s.Members = append(s.Members, fleet.Member{Record: &records[i], Liveness: standing, RecordedAt: longAgo})
	}
	return s
}

// sentFrames are the frames that a process hands to memberlist, by name.
func sentFrames(t *testing.T) map[string][]byte {
	f, records := newGoldenFleet(t), goldenRecords()
	frames := map[string][]byte{}
	now := func() time.Duration { return 1500 * time.Millisecond }
	frames["broadcast"] = (&word{records[0], 0, now}).Message()

	f.Send(&fleet.Member{Record: &records[0]}, []byte("payload"))
	direct := <-f.direct
	require.Equal(t, memberlist.Address{Addr: "10.0.0.2:7946", Name: "n2/0000000000000008"}, direct.to)
	frames["message to one member"] = direct.b

	f.snapshot.Store(snapshotOf(records, fleet.Alive))
	frames["state for a newcomer"] = delegate{f}.LocalState(true)
	f.snapshot.Store(snapshotOf(records[:1], fleet.Alive))
	frames["state in a later exchange"] = delegate{f}.LocalState(false)
	f.snapshot.Store(snapshotOf(records, fleet.Unmet))
	frames["state without members that were met"] = delegate{f}.LocalState(true)
	frames["metadata of a node"] = delegate{f}.NodeMeta(memberlist.MetaMaxSize)
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
	frames, records, f := readFrames(t, goldenFrames), goldenRecords(), newGoldenFleet(t)
	require.Len(t, frames, len(frameNames))

	delegate{f}.NotifyMsg(frames["broadcast"])
	requireWords(t, f, records[:1])
	delegate{f}.MergeRemoteState(frames["state for a newcomer"], true)
	requireWords(t, f, records)
	delegate{f}.MergeRemoteState(frames["state in a later exchange"], false)
	requireWords(t, f, records[:1])
	delegate{f}.MergeRemoteState(frames["state without members that were met"], true)
	requireWords(t, f, nil)

	var heard []string
	f.OnMessage(func(b []byte) { heard = append(heard, string(b)) })
	delegate{f}.NotifyMsg(frames["message to one member"])
	require.Equal(t, []string{"payload"}, heard)
	requireWords(t, f, nil)
	require.Zero(t, f.Counters.Malformed.Load())
}

// requireWords takes the words that wait for the keeper, and compares their records.
func requireWords(t *testing.T, f *Fleet, want []fleet.Record) {
	t.Helper()
	var got []fleet.Record
	for len(f.words) > 0 {
		got = append(got, (<-f.words).rec)
	}
	require.Equal(t, want, got)
}

// What memberlist is told decides whether two members understand each other.
func TestGoldenSettings(t *testing.T) {
	c := newGoldenFleet(t).settings()
	var got strings.Builder
	fmt.Fprintf(&got, "name: %s\nadvertised: %s port %d\n", c.Name, c.AdvertiseAddr, c.AdvertisePort)
	fmt.Fprintf(&got, "protocol: %d\ndelegate protocol: %d to %d, %d\n", c.ProtocolVersion,
		c.DelegateProtocolMin, c.DelegateProtocolMax, c.DelegateProtocolVersion)
	fmt.Fprintf(&got, "label: %q\ncompression: %v\nencryption: %v\n", c.Label, c.EnableCompression, c.Keyring != nil)
	fmt.Fprintf(&got, "verifies what comes in: %v, and goes out: %v\n", c.GossipVerifyIncoming, c.GossipVerifyOutgoing)
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

// goldenPublished has something of all that is published and does not depend on when a test runs: members told of
// themselves in what is the future, so that their age is 0, or so long ago that they are stale.
func goldenPublished(t *testing.T) *Fleet {
	f, records := newGoldenFleet(t), goldenRecords()
	setCounters(&f.Counters)
	s := snapshotOf(records, fleet.Alive)
	s.Members[0].RecordedAt, s.Members[0].Since = time.Hour, time.Hour
	s.Members[1].RecordedAt, s.Members[1].Since, s.Members[1].Liveness = time.Hour, time.Hour, fleet.Left
	s.Zones = []fleet.Zone{{Region: "eu", Zone: "eu-a", Known: 1}}
	s.Zones[0].Count[fleet.Alive] = 1
	s.Total.Known = 28
	for standing := fleet.Unmet; standing <= fleet.Left; standing++ {
		s.Total.Count[standing] = int(standing) + 1
	}
	f.snapshot.Store(s)
	return f
}

// The page of the console is read by scripts and by falldeal-fleet of other versions.
func TestGoldenPage(t *testing.T) {
	page := goldenPublished(t).Page()
	require.Equal(t, "GET /fleet", page.Pattern)
	require.Equal(t, "application/json", page.Type)
	requireGolden(t, "testdata/page.json", string(page.Do()))
}

// The figures go to the operators' statistics by these names.
func TestGoldenFigures(t *testing.T) {
	f := goldenPublished(t)
	got := string(f.AppendMetrics([]byte("before:1|g\n")))
	stale := snapshotOf(goldenRecords()[:1], fleet.Alive)
	f.snapshot.Store(stale)
	got += "---\n" + string(f.AppendMetrics(nil))
	requireGolden(t, "testdata/figures.txt", got)
}

package gossip

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"falldeal/internal/fleet"
	"falldeal/lab/golden"

	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/require"
)

const goldenFrames = "frames.hex"

// sentFrames returns the frames that a process passes to memberlist, by name.
func sentFrames(t *testing.T) map[string][]byte {
	t.Helper()
	membership, records := newGoldenFleet(t), goldenRecords()
	frames := map[string][]byte{}
	now := func() time.Duration { return 1500 * time.Millisecond }
	frames["broadcast"] = (&recordUpdate{records[0], 0, now}).Message()

	membership.Send(&fleet.Member{Record: &records[0]}, []byte("payload"))
	direct := <-membership.directMessages
	require.Equal(t, memberlist.Address{Addr: "10.0.0.2:7946", Name: "n2/0000000000000008"}, direct.to)
	frames["message to one member"] = direct.payload

	membership.snapshot.Store(snapshotOf(records, fleet.Alive))
	frames["state for a newcomer"] = delegate{membership}.LocalState(true)
	membership.snapshot.Store(snapshotOf(records[:1], fleet.Alive))
	frames["state in a later exchange"] = delegate{membership}.LocalState(false)
	membership.snapshot.Store(snapshotOf(records, fleet.Unconfirmed))
	frames["state without members that were met"] = delegate{membership}.LocalState(true)
	frames["metadata of a node"] = delegate{membership}.NodeMeta(memberlist.MetaMaxSize)
	return frames
}

var frameNames = []string{
	"broadcast", "message to one member", "state for a newcomer", "state in a later exchange",
	"state without members that were met", "metadata of a node",
}

// Other members may be of another version, so that the bytes sent to them must not change.
func TestGoldenFramesWritten(t *testing.T) {
	frames := sentFrames(t)
	require.Len(t, frames, len(frameNames))
	var ordered []golden.Frame
	for _, name := range frameNames {
		require.Contains(t, frames, name)
		ordered = append(ordered, golden.Frame{Name: name, Bytes: frames[name]})
	}
	golden.RequireFrames(t, goldenFrames, ordered)
}

// Frames that earlier versions sent must still be decoded.
func TestGoldenFramesRead(t *testing.T) {
	frames, records, membership := golden.ReadFrames(t, goldenFrames, len(frameNames)), goldenRecords(), newGoldenFleet(t)

	delegate{membership}.NotifyMsg(frames["broadcast"])
	requireQueuedUpdates(t, membership, records[:1])
	delegate{membership}.MergeRemoteState(frames["state for a newcomer"], true)
	requireQueuedUpdates(t, membership, records)
	delegate{membership}.MergeRemoteState(frames["state in a later exchange"], false)
	requireQueuedUpdates(t, membership, records[:1])
	delegate{membership}.MergeRemoteState(frames["state without members that were met"], true)
	requireQueuedUpdates(t, membership, nil)

	var received []string
	membership.OnMessage(func(b []byte) { received = append(received, string(b)) })
	delegate{membership}.NotifyMsg(frames["message to one member"])
	require.Equal(t, []string{"payload"}, received)
	requireQueuedUpdates(t, membership, nil)
	require.Zero(t, membership.Counters.Malformed.Load())
}

// requireQueuedUpdates takes the updates that wait for the owner of the view, and requires that they hold these records.
func requireQueuedUpdates(t *testing.T, membership *Fleet, want []fleet.Record) {
	t.Helper()
	var got []fleet.Record
	for len(membership.updates) > 0 {
		got = append(got, (<-membership.updates).record)
	}
	require.Equal(t, want, got)
}

// Two members can communicate only if these settings of memberlist agree.
func TestGoldenSettings(t *testing.T) {
	config := newGoldenFleet(t).memberlistConfig()
	var got strings.Builder
	fmt.Fprintf(&got, "name: %s\nadvertised: %s port %d\n", config.Name, config.AdvertiseAddr, config.AdvertisePort)
	fmt.Fprintf(&got, "protocol: %d\ndelegate protocol: %d to %d, %d\n", config.ProtocolVersion,
		config.DelegateProtocolMin, config.DelegateProtocolMax, config.DelegateProtocolVersion)
	fmt.Fprintf(&got, "label: %q\ncompression: %v\nencryption: %v\n",
		config.Label, config.EnableCompression, config.Keyring != nil)
	fmt.Fprintf(&got, "verifies what comes in: %v, and goes out: %v\n",
		config.GossipVerifyIncoming, config.GossipVerifyOutgoing)
	golden.RequireFile(t, "settings.txt", got.String())
}

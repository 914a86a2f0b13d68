package server

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Messages of other processes must be handled before all that clients have sent, which may fill the inbox. A process
// fell behind the other one otherwise, whose queue of messages then was full.
func TestMessagesOfOtherProcessesAreHandledFirst(t *testing.T) {
	server, _ := newServerWithoutLoop(t)
	var order []string
	for range inboxCapacity {
		server.post(func() { order = append(order, "client") })
	}
	for range 3 {
		server.postPeer(func() { order = append(order, "peer") })
	}
	server.turn()
	require.Equal(t, "peer peer peer client", strings.Join(order[:4], " "))
	require.Len(t, order, 3+maxEventsPerTurn)
}

package main

import (
	"net"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const sampleConfig = "../../internal/config/testdata/config.json"

// configWithAgent returns the sample configuration with the given agent, any free port for front ends, and a drain of
// 100 ms.
func configWithAgent(t *testing.T, agentAddr string) []byte {
	t.Helper()
	text, err := os.ReadFile(sampleConfig)
	require.NoError(t, err)
	replacer := strings.NewReplacer("127.0.0.1:4400", agentAddr, ":5050", ":0", `"stop_ms": 3200`, `"stop_ms": 100`)
	return []byte(replacer.Replace(string(text)))
}

// listenAsAgent listens for a server that connects to its agent. The listener is closed at the end of the test.
func listenAsAgent(t *testing.T) *net.TCPListener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	tcpListener, ok := listener.(*net.TCPListener)
	require.True(t, ok)
	return tcpListener
}

// acceptServer waits until a server connects. The connection is closed at the end of the test.
func acceptServer(t *testing.T, agent *net.TCPListener) {
	t.Helper()
	conn, err := agent.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
}

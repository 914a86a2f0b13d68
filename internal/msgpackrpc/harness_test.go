package msgpackrpc

import (
	"bufio"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"falldeal/internal/config"
	"falldeal/internal/logging"
	"falldeal/internal/server"
	"falldeal/lab/loopback"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// testTimeout is after how long a step of a test fails.
const testTimeout = 30 * time.Second

// noIdleClose keeps the server from closing idle connections, however slow the machine is.
var noIdleClose = []string{`"IdleUs": 30000000`, `"IdleUs": 0`}

// testPeers is an image server on real sockets, and a scripted peer on each of its links.
type testPeers struct {
	*testing.T
	server     *server.Server
	cfg        *config.Config // as the server was started; read only
	addr       string
	serverDone chan error
	commands   chan agentCommand // to the agent, besides samples
	samples    chan struct{}     // one for each sample while a test waits for it
	handshake  chan string       // answers the next handshake, with that state
	storeCalls chan storeCall

	mu         sync.Mutex
	agentConn  net.Conn
	lastOffset int
	attempts   int
}

// agentCommand is a line to the agent.
type agentCommand struct {
	Cmd, Req, Method, Token string
	Offset                  int
	Payload                 []byte
}

// storeCall is a call to the store, and the connection for its reply.
type storeCall struct {
	net.Conn
	id, body string
}

// startServer runs an image server with the sample configuration, in which replacements (old, new, old, new) are made.
func startServer(t *testing.T, replacements ...string) *testPeers {
	ln := loopback.Listen(t)
	peers := startServerOn(t, ln, "", replacements...)
	require.NoError(t, ln.Close()) // the server has a descriptor of its own
	return peers
}

// startServerOn is startServer on a socket that listens already, for one of the processes that hand over at path.
func startServerOn(t *testing.T, ln *net.TCPListener, path string, replacements ...string) *testPeers {
	peers := startServerBeforeAgent(t, ln, path, replacements...)
	peers.handshake <- "steady"
	peers.expectCommand("subscribe", "")
	peers.expectNoCommand() // the server is ready once it samples
	return peers
}

// startServerBeforeAgent is startServerOn with an agent that does not answer the handshake yet.
func startServerBeforeAgent(t *testing.T, ln *net.TCPListener, path string, replacements ...string) *testPeers {
	return startServerWithLimit(t, ln, path, 0, replacements...)
}

// startServerWithLimit is startServerBeforeAgent with at most maxConns connections at a time; 0 = the configured limit.
func startServerWithLimit(t *testing.T, ln *net.TCPListener, path string, maxConns int, replacements ...string) *testPeers {
	cfg := sampleConfig(t, replacements...)
	agent, store := loopback.Listen(t), loopback.Listen(t)
	cfg.Agent, cfg.Store = agent.Addr().String(), store.Addr().String()
	cfg.Handover, cfg.ReplacedStopTimeout = path, time.Hour
	if maxConns == 0 {
		maxConns = cfg.Limits.MaxFrontConnections()
	}
	log, _ := test.NewNullLogger()
	listener, err := ListenInherited(duplicateDescriptor(t, ln), maxConns, logging.NewLimiter(log))
	require.NoError(t, err)
	peers := &testPeers{
		T:          t,
		server:     server.New(cfg, log),
		cfg:        cfg,
		addr:       listener.Addr().String(),
		serverDone: make(chan error, 1),
		commands:   make(chan agentCommand, 100),
		samples:    make(chan struct{}),
		handshake:  make(chan string, 1),
		storeCalls: make(chan storeCall, 10),
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { peers.serverDone <- peers.server.Run(ctx, listener) }()
	go peers.serveAgent(agent)
	go peers.serveStore(store)
	t.Cleanup(cancel)
	return peers
}

// sampleConfig returns the sample configuration with replacements. Its deadlines are so long that a machine that stands
// still for a while does not make a test's requests late, unless replacements change them.
func sampleConfig(t *testing.T, replacements ...string) *config.Config {
	t.Helper()
	text, err := os.ReadFile("../config/testdata/config.json")
	require.NoError(t, err)
	replacements = append(replacements, `"AimUs": 1900000`, `"AimUs": 600000000`,
		`"DeadlineUs": 7000000`, `"DeadlineUs": 600000000`, `"DeadlineUs": 5800000`, `"DeadlineUs": 600000000`)
	replaced := strings.NewReplacer(replacements...).Replace(string(text))
	cfg, err := config.Parse([]byte(replaced), func(string) string { return "" })
	require.NoError(t, err)
	return cfg
}

// duplicateDescriptor returns a descriptor of the listener's socket, which the caller owns.
func duplicateDescriptor(t *testing.T, ln *net.TCPListener) uintptr {
	t.Helper()
	file, err := ln.File()
	require.NoError(t, err)
	fd, err := syscall.Dup(int(file.Fd()))
	require.NoError(t, err)
	require.NoError(t, file.Close())
	return uintptr(fd)
}

// serveAgent accepts the server's links, one after the other.
func (p *testPeers) serveAgent(ln net.Listener) {
	for {
		agentConn, err := ln.Accept()
		if err != nil {
			return
		}
		lines := bufio.NewScanner(agentConn)
		for lines.Scan() {
			var command agentCommand
			if err := json.Unmarshal(lines.Bytes(), &command); err != nil {
				p.Errorf("command %q: %v", lines.Text(), err)
			}
			if command.Cmd != "sample" {
				p.commands <- command
			}
			p.answerCommand(agentConn, command)
		}
	}
}

// answerCommand does what the agent does by itself: it answers the handshake once a test lets it, and samples.
func (p *testPeers) answerCommand(agentConn net.Conn, command agentCommand) {
	switch command.Cmd {
	case "subscribe":
		state := <-p.handshake
		p.mu.Lock()
		p.agentConn = agentConn
		p.mu.Unlock()
		elapsed := 3600000
		if state == "booting" {
			elapsed = 0
		}
		fmt.Fprintf(agentConn, `{"cmd":"greeting","result":%q,"elapsed_ms":%d}`+"\n", state, elapsed)
	case "sample":
		select {
		case p.samples <- struct{}{}:
		default:
		}
		fmt.Fprintf(agentConn, `{"cmd":"sampled","token":%q,"load":[0.1,0,0.1,1]}`+"\n", command.Token)
	}
}

// serveStore accepts calls on any number of connections.
func (p *testPeers) serveStore(ln net.Listener) {
	for {
		storeConn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer storeConn.Close()
			reader := bufio.NewReader(storeConn)
			for {
				call, err := readStoreCall(reader)
				if err != nil {
					return
				}
				call.Conn = storeConn
				p.storeCalls <- call
			}
		}()
	}
}

// readStoreCall reads one call.
func readStoreCall(reader *bufio.Reader) (call storeCall, err error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return call, err
	}
	var wait, length int
	if _, err := fmt.Sscanf(line, "CALL %s %d %d\r\n", &call.id, &wait, &length); err != nil {
		return call, err
	}
	body := make([]byte, length+len("\r\n"))
	if _, err := io.ReadFull(reader, body); err != nil {
		return call, err
	}
	call.body = strings.TrimSuffix(string(body), "\r\n")
	return call, nil
}

// await receives a value, or fails the test after testTimeout.
func await[T any](peers *testPeers, from <-chan T, what string) (value T) {
	peers.Helper()
	select {
	case value = <-from:
	case <-time.After(testTimeout):
		peers.Fatalf("no %s came", what)
	}
	return value
}

// expectCommand waits for the next command to the agent.
func (p *testPeers) expectCommand(cmd, req string) agentCommand {
	p.Helper()
	command := await(p, p.commands, cmd)
	require.Equal(p, cmd+" "+req, command.Cmd+" "+command.Req)
	return command
}

// expectNoCommand gives the server time to send a command, and fails the test where it did.
func (p *testPeers) expectNoCommand() {
	p.Helper()
	for range 3 {
		await(p, p.samples, "sample")
	}
	require.Empty(p, p.commands)
}

// agentSends sends an event of a run.
func (p *testPeers) agentSends(command, requestID, result string, payload []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastOffset++
	fmt.Fprintf(p.agentConn, `{"cmd":%q,"offset":%d,"req":%q,"result":%q,"elapsed_ms":5,"payload":%q}`+"\n",
		command, p.lastOffset, requestID, result, base64.StdEncoding.EncodeToString(payload))
}

// breakAgentLink closes the link to the agent; the next one waits for handshake.
func (p *testPeers) breakAgentLink() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.agentConn.Close()
}

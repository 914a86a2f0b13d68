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
	"sync/atomic"
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

// testTimeout is the time after which a step of a test fails.
const testTimeout = 30 * time.Second

// noIdleClose prevents the server from closing idle connections, which could happen on a slow machine.
var noIdleClose = []string{`"IdleUs": 30000000`, `"IdleUs": 0`}

// testPeers is an image server with real sockets, a simulated agent and a simulated store.
type testPeers struct {
	*testing.T
	server     *server.Server
	cfg        *config.Config // configuration at the start; must not be changed
	addr       string
	serverDone chan error
	commands   chan agentCommand // commands received by the agent, except samples
	samples    chan struct{}     // receives a signal for each sample while a test waits for it
	handshake  chan string       // state to report in the next handshake, which waits for it
	storeCalls chan storeCall

	breakOnReply atomic.Bool // the agent closes its connection as soon as it has read a reply to a call

	mu         sync.Mutex
	agentConn  net.Conn
	lastOffset int
	attempts   int
}

// agentCommand is a command received by the agent.
type agentCommand struct {
	Cmd, Req, Method, Token string
	Offset                  int
	Payload                 []byte
}

// storeCall is a call received by the store, and the connection for its reply.
type storeCall struct {
	net.Conn
	id, body string
}

// startServer runs an image server with the sample configuration, changed by replacements (old, new, old, new, ...).
func startServer(t *testing.T, replacements ...string) *testPeers {
	ln := loopback.Listen(t)
	peers := startServerOn(t, ln, "", replacements...)
	require.NoError(t, ln.Close()) // the server has its own descriptor
	return peers
}

// startServerOn is startServer on a listening socket. The process hands over to its successor at path.
func startServerOn(t *testing.T, ln *net.TCPListener, path string, replacements ...string) *testPeers {
	peers := startServerBeforeAgent(t, ln, path, replacements...)
	peers.handshake <- "steady"
	peers.expectCommand("subscribe", "")
	peers.expectNoCommand() // the server is ready once it sends samples
	return peers
}

// startServerBeforeAgent is startServerOn with an agent that does not send its handshake yet.
func startServerBeforeAgent(t *testing.T, ln *net.TCPListener, path string, replacements ...string) *testPeers {
	return startServerWithLimit(t, ln, path, 0, replacements...)
}

// startServerWithLimit is startServerBeforeAgent with up to maxConns connections at a time; 0 means the configured limit.
func startServerWithLimit(t *testing.T, ln *net.TCPListener, path string, maxConns int, replacements ...string) *testPeers {
	cfg := sampleConfig(t, replacements...)
	agent, store := loopback.Listen(t), loopback.Listen(t)
	cfg.Agent, cfg.Store = agent.Addr().String(), store.Addr().String()
	cfg.HandoverPath, cfg.ReplacedStopTimeout = path, time.Hour
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

// sampleConfig returns the sample configuration with replacements. Its deadlines are 10 minutes unless replacements change
// them, so that requests do not time out if the machine is paused for a while.
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

// duplicateDescriptor returns a duplicate of the listener's descriptor, which the caller owns.
func duplicateDescriptor(t *testing.T, ln *net.TCPListener) uintptr {
	t.Helper()
	file, err := ln.File()
	require.NoError(t, err)
	fd, err := syscall.Dup(int(file.Fd()))
	require.NoError(t, err)
	require.NoError(t, file.Close())
	return uintptr(fd)
}

// serveAgent accepts connections of the server, one after the other.
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
				p.Errorf("agent received an invalid command %q: %v", lines.Text(), err)
			}
			if command.Cmd == "deliver" && p.breakOnReply.Load() {
				agentConn.Close()
			}
			if command.Cmd != "sample" {
				p.commands <- command
			}
			p.answerCommand(agentConn, command)
		}
	}
}

// answerCommand answers the commands that need no decision of the test: it sends a handshake once the test provides its
// state, and it answers samples.
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

// await receives a value. It fails the test after testTimeout.
func await[T any](peers *testPeers, from <-chan T, what string) (value T) {
	peers.Helper()
	select {
	case value = <-from:
	case <-time.After(testTimeout):
		peers.Fatalf("no %s within %v", what, testTimeout)
	}
	return value
}

// expectCommand waits for the next command to the agent and checks its name and request ID.
func (p *testPeers) expectCommand(cmd, req string) agentCommand {
	p.Helper()
	command := await(p, p.commands, cmd)
	require.Equal(p, cmd+" "+req, command.Cmd+" "+command.Req)
	return command
}

// expectNoCommand waits for three samples, and fails the test if the server has sent any other command by then.
func (p *testPeers) expectNoCommand() {
	p.Helper()
	for range 3 {
		await(p, p.samples, "sample")
	}
	require.Empty(p, p.commands)
}

// agentSends sends a notification about a run.
func (p *testPeers) agentSends(command, requestID, result string, payload []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastOffset++
	fmt.Fprintf(p.agentConn, `{"cmd":%q,"offset":%d,"req":%q,"result":%q,"elapsed_ms":5,"payload":%q}`+"\n",
		command, p.lastOffset, requestID, result, base64.StdEncoding.EncodeToString(payload))
}

// breakAgentLink closes the connection to the agent. The next connection gets no handshake until the test provides one.
func (p *testPeers) breakAgentLink() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.agentConn.Close()
}

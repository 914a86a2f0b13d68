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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"falldeal/internal/config"
	"falldeal/internal/logging"
	"falldeal/internal/server"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

const testTimeout = 30 * time.Second // after which a test that hangs is given up

// testPeers is an image server on real sockets, and a scripted peer on each of its links.
type testPeers struct {
	*testing.T
	server     *server.Server
	cfg        *config.Config // that it was started with; not to be changed
	addr       string
	serverDone chan error
	commands   chan agentCommand // what the agent is told, besides samples
	samples    chan struct{}     // one for each sample, as far as they are waited for
	handshake  chan string       // lets the agent greet on the next link, in that state
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

// storeCall is a call to the store, and where its reply goes.
type storeCall struct {
	net.Conn
	id, body string
}

// startServer runs an image server with the sample configuration, in which each old text is replaced.
func startServer(t *testing.T, replacements ...string) *testPeers {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return startServerOn(t, ln, "", replacements...)
}

// startServerOn runs one on a socket that listens already, as one of the processes that meet at path.
func startServerOn(t *testing.T, ln net.Listener, path string, replacements ...string) *testPeers {
	peers := startServerBeforeAgent(t, ln, path, replacements...)
	peers.handshake <- "steady"
	peers.expectCommand("subscribe", "")
	peers.expectNoCommand() // the server is ready once it samples
	return peers
}

// startServerBeforeAgent runs one whose agent does not greet yet.
func startServerBeforeAgent(t *testing.T, ln net.Listener, path string, replacements ...string) *testPeers {
	return startServerWithLimit(t, ln, path, 0, replacements...)
}

// startServerWithLimit runs one that accepts up to most connections at a time; 0 = as many as its configuration lets it.
func startServerWithLimit(t *testing.T, ln net.Listener, path string, maxConns int, replacements ...string) *testPeers {
	peers := &testPeers{T: t, serverDone: make(chan error, 1), commands: make(chan agentCommand, 100), samples: make(chan struct{}),
		handshake: make(chan string, 1), storeCalls: make(chan storeCall, 10)}
	text, err := os.ReadFile("../config/testdata/config.json")
	require.NoError(t, err)
	// A machine that stands still for a while must not turn a test's requests into late ones.
	replacements = append(replacements, `"AimUs": 1900000`, `"AimUs": 600000000`,
		`"DeadlineUs": 7000000`, `"DeadlineUs": 600000000`, `"DeadlineUs": 5800000`, `"DeadlineUs": 600000000`)
	cfg, err := config.Parse([]byte(strings.NewReplacer(replacements...).Replace(string(text))), func(string) string { return "" })
	require.NoError(t, err)
	agent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	store, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	cfg.Agent, cfg.Store = agent.Addr().String(), store.Addr().String()
	cfg.Handover, cfg.ReplacedStopTimeout = path, time.Hour
	log, _ := test.NewNullLogger()
	file, err := ln.(*net.TCPListener).File()
	require.NoError(t, err)
	defer file.Close()
	fd, err := syscall.Dup(int(file.Fd()))
	require.NoError(t, err)
	if maxConns == 0 {
		maxConns = cfg.Limits.FrontSockets()
	}
	listener, err := Inherit(uintptr(fd), maxConns, logging.NewLimiter(log))
	require.NoError(t, err)
	peers.addr = listener.Addr().String()
	peers.cfg, peers.server = cfg, server.New(cfg, log)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { peers.serverDone <- peers.server.Run(ctx, listener) }()
	go peers.serveAgent(agent)
	go peers.serveStore(store)
	t.Cleanup(func() { cancel(); agent.Close(); store.Close() })
	return peers
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
	}
}

// serveStore takes calls on whatever connection they come.
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
				line, err := reader.ReadString('\n')
				call := storeCall{Conn: storeConn}
				var wait, length int
				if _, scanErr := fmt.Sscanf(line, "CALL %s %d %d\r\n", &call.id, &wait, &length); err != nil || scanErr != nil {
					return
				}
				body := make([]byte, length+2)
				if _, err := io.ReadFull(reader, body); err != nil {
					return
				}
				call.body = strings.TrimSuffix(string(body), "\r\n")
				p.storeCalls <- call
			}
		}()
	}
}

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

// expectNoCommand lets the server take some turns of its sweep and reports a command that came by then.
func (p *testPeers) expectNoCommand() {
	p.Helper()
	for range 3 {
		await(p, p.samples, "sample")
	}
	require.Empty(p, p.commands)
}

// agentSends sends a notice about a request.
func (p *testPeers) agentSends(command, requestID, result string, payload []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastOffset++
	fmt.Fprintf(p.agentConn, `{"cmd":%q,"offset":%d,"req":%q,"result":%q,"elapsed_ms":5,"payload":%q}`+"\n", command, p.lastOffset,
		requestID, result, base64.StdEncoding.EncodeToString(payload))
}

// breakAgentLink breaks the link to the agent; the next one waits for greet.
func (p *testPeers) breakAgentLink() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.agentConn.Close()
}

// testClient is a connection to the server.
type testClient struct {
	*testPeers
	netConn  net.Conn
	decoder  decoder
	lastCall uint32
}

func (p *testPeers) dial() *testClient {
	netConn, err := net.Dial("tcp", p.addr)
	require.NoError(p, err)
	p.Cleanup(func() { netConn.Close() })
	require.NoError(p, netConn.SetDeadline(time.Now().Add(testTimeout)))
	return &testClient{testPeers: p, netConn: netConn, decoder: decoder{source: bufio.NewReader(netConn)}}
}

func (f *testClient) write(b []byte) {
	_, err := f.netConn.Write(b)
	require.NoError(f, err)
}

const absentField = "\x00" // in place of a field's value

// newRequest makes a request, with its fields changed as told: name, value, name, value.
func (f *testClient) newRequest(method, body string, changes ...string) (id string, frame []byte) {
	f.attempts++
	f.lastCall++
	fields := sampleFields()
	delete(fields, "once")
	id = fmt.Sprintf("%016x", f.attempts)
	fields["id"], fields["wait"] = id, "600000"
	fields["at"] = strconv.FormatInt(time.Now().UnixMilli(), 10)
	for i := 0; i < len(changes); i += 2 {
		if fields[changes[i]] = changes[i+1]; changes[i+1] == absentField {
			delete(fields, changes[i])
		}
	}
	return id, appendRequest(f.lastCall, method, fields, []byte(body))
}

// sendRequest writes a request and returns its id.
func (f *testClient) sendRequest(method, body string, changes ...string) string {
	id, frame := f.newRequest(method, body, changes...)
	f.write(frame)
	return id
}

// expectAnswer reads the next message, which must be the answer to a call: a body, or an error's name.
func (f *testClient) expectAnswer(call int, want string) {
	f.Helper()
	value, err := f.decoder.next()
	require.NoError(f, err)
	list := value.(arrayValue)
	require.Equal(f, arrayValue{int64(kindResponse), int64(call)}, list[:2])
	if list[2] != nil {
		require.Equal(f, want, list[2].(arrayValue)[0], "%v", list[2])
		return
	}
	require.Equal(f, want, fmt.Sprintf("%s", list[3].(arrayValue)[0]))
}

// expectConnectionEnd reads the end of the connection.
func (f *testClient) expectConnectionEnd() {
	f.Helper()
	value, err := f.decoder.next()
	require.Error(f, err, "%v", value)
	require.NotErrorIs(f, err, os.ErrDeadlineExceeded)
}

// expectClosing reads the notification that the connection is closing.
func (f *testClient) expectClosing() {
	f.Helper()
	value, err := f.decoder.next()
	require.NoError(f, err)
	require.Equal(f, arrayValue{int64(kindNotification), methodClosing, arrayValue{}}, value)
}

// isClosing makes a health check on a new connection, and reports whether it is closing instead.
func (f *testClient) isClosing() bool {
	f.write(appendHealthCheck(1, nil))
	value, err := f.decoder.next()
	require.NoError(f, err)
	return value.(arrayValue)[0] == int64(kindNotification)
}

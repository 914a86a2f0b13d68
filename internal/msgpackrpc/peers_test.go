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

const patience = 30 * time.Second // after which a test that hangs is given up

// peers is an image server on real sockets, and a scripted peer on each of its links.
type peers struct {
	*testing.T
	server   *server.Server
	cfg      *config.Config // that it was started with; not to be changed
	addr     string
	over     chan error
	commands chan command  // what the agent is told, besides samples
	samples  chan struct{} // one for each sample, as far as they are waited for
	greet    chan string   // lets the agent greet on the next link, in that state
	calls    chan storeCall

	mu     sync.Mutex
	agent  net.Conn
	offset int
	tries  int
}

// command is a line to the agent.
type command struct {
	Cmd, Req, Method, Token string
	Offset                  int
	Payload                 []byte
}

// storeCall is a call to the store, and where its reply goes.
type storeCall struct {
	net.Conn
	id, body string
}

// start runs an image server with the sample configuration, in which each old text is replaced.
func start(t *testing.T, oldNew ...string) *peers {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return startAt(t, ln, "", oldNew...)
}

// startAt runs one on a socket that listens already, as one of the processes that meet at path.
func startAt(t *testing.T, ln net.Listener, path string, oldNew ...string) *peers {
	p := startLate(t, ln, path, oldNew...)
	p.greet <- "steady"
	p.expect("subscribe", "")
	p.quiet() // the server is ready once it samples
	return p
}

// startLate runs one whose agent does not greet yet.
func startLate(t *testing.T, ln net.Listener, path string, oldNew ...string) *peers {
	return startFew(t, ln, path, 0, oldNew...)
}

// startFew runs one that accepts up to most connections at a time; 0 = as many as its configuration lets it.
func startFew(t *testing.T, ln net.Listener, path string, most int, oldNew ...string) *peers {
	p := &peers{T: t, over: make(chan error, 1), commands: make(chan command, 100), samples: make(chan struct{}),
		greet: make(chan string, 1), calls: make(chan storeCall, 10)}
	text, err := os.ReadFile("../config/testdata/config.json")
	require.NoError(t, err)
	// A machine that stands still for a while must not turn a test's requests into late ones.
	oldNew = append(oldNew, `"AimUs": 1900000`, `"AimUs": 600000000`,
		`"DeadlineUs": 7000000`, `"DeadlineUs": 600000000`, `"DeadlineUs": 5800000`, `"DeadlineUs": 600000000`)
	cfg, err := config.Parse([]byte(strings.NewReplacer(oldNew...).Replace(string(text))), func(string) string { return "" })
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
	if most == 0 {
		most = cfg.Limits.FrontSockets()
	}
	front, err := Inherit(uintptr(fd), most, logging.NewLimiter(log))
	require.NoError(t, err)
	p.addr = front.Addr().String()
	p.cfg, p.server = cfg, server.New(cfg, log)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { p.over <- p.server.Run(ctx, front) }()
	go p.serveAgent(agent)
	go p.serveStore(store)
	t.Cleanup(func() { cancel(); agent.Close(); store.Close() })
	return p
}

// serveAgent accepts the server's links, one after the other.
func (p *peers) serveAgent(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		in := bufio.NewScanner(nc)
		for in.Scan() {
			var c command
			if err := json.Unmarshal(in.Bytes(), &c); err != nil {
				p.Errorf("command %q: %v", in.Text(), err)
			}
			if c.Cmd != "sample" {
				p.commands <- c
			}
			switch c.Cmd {
			case "subscribe":
				state := <-p.greet
				p.mu.Lock()
				p.agent = nc
				p.mu.Unlock()
				elapsed := 3600000
				if state == "booting" {
					elapsed = 0
				}
				fmt.Fprintf(nc, `{"cmd":"greeting","result":%q,"elapsed_ms":%d}`+"\n", state, elapsed)
			case "sample":
				select {
				case p.samples <- struct{}{}:
				default:
				}
				fmt.Fprintf(nc, `{"cmd":"sampled","token":%q,"load":[0.1,0,0.1,1]}`+"\n", c.Token)
			}
		}
	}
}

// serveStore takes calls on whatever connection they come.
func (p *peers) serveStore(ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer nc.Close()
			in := bufio.NewReader(nc)
			for {
				line, err := in.ReadString('\n')
				c := storeCall{Conn: nc}
				var wait, length int
				if _, scanErr := fmt.Sscanf(line, "CALL %s %d %d\r\n", &c.id, &wait, &length); err != nil || scanErr != nil {
					return
				}
				body := make([]byte, length+2)
				if _, err := io.ReadFull(in, body); err != nil {
					return
				}
				c.body = strings.TrimSuffix(string(body), "\r\n")
				p.calls <- c
			}
		}()
	}
}

func await[T any](p *peers, from <-chan T, what string) (v T) {
	p.Helper()
	select {
	case v = <-from:
	case <-time.After(patience):
		p.Fatalf("no %s came", what)
	}
	return v
}

// expect waits for the next command to the agent.
func (p *peers) expect(cmd, req string) command {
	p.Helper()
	c := await(p, p.commands, cmd)
	require.Equal(p, cmd+" "+req, c.Cmd+" "+c.Req)
	return c
}

// quiet lets the server take some turns of its sweep and reports a command that came by then.
func (p *peers) quiet() {
	p.Helper()
	for range 3 {
		await(p, p.samples, "sample")
	}
	require.Empty(p, p.commands)
}

// tell sends a notice about a request.
func (p *peers) tell(kind, req, result string, payload []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offset++
	fmt.Fprintf(p.agent, `{"cmd":%q,"offset":%d,"req":%q,"result":%q,"elapsed_ms":5,"payload":%q}`+"\n", kind, p.offset,
		req, result, base64.StdEncoding.EncodeToString(payload))
}

// cut breaks the link to the agent; the next one waits for greet.
func (p *peers) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.agent.Close()
}

// front is a connection to the server.
type front struct {
	*peers
	net  net.Conn
	in   decoder
	next uint32
}

func (p *peers) dial() *front {
	nc, err := net.Dial("tcp", p.addr)
	require.NoError(p, err)
	p.Cleanup(func() { nc.Close() })
	require.NoError(p, nc.SetDeadline(time.Now().Add(patience)))
	return &front{peers: p, net: nc, in: decoder{in: bufio.NewReader(nc)}}
}

func (f *front) write(b []byte) {
	_, err := f.net.Write(b)
	require.NoError(f, err)
}

const absent = "\x00" // in place of a field's value

// try makes a request, with its fields changed as told: name, value, name, value.
func (f *front) try(class, body string, change ...string) (id string, frame []byte) {
	f.tries++
	f.next++
	fields := sampleFields()
	delete(fields, "once")
	id = fmt.Sprintf("%016x", f.tries)
	fields["id"], fields["wait"] = id, "600000"
	fields["at"] = strconv.FormatInt(time.Now().UnixMilli(), 10)
	for i := 0; i < len(change); i += 2 {
		if fields[change[i]] = change[i+1]; change[i+1] == absent {
			delete(fields, change[i])
		}
	}
	return id, appendRequest(f.next, class, fields, []byte(body))
}

// send writes a request and returns its id.
func (f *front) send(class, body string, change ...string) string {
	id, frame := f.try(class, body, change...)
	f.write(frame)
	return id
}

// expectAnswer reads the next message, which must be the answer to a call: a body, or an error's name.
func (f *front) expectAnswer(call int, want string) {
	f.Helper()
	v, err := f.in.next()
	require.NoError(f, err)
	list := v.(arrayValue)
	require.Equal(f, arrayValue{int64(kindAnswer), int64(call)}, list[:2])
	if list[2] != nil {
		require.Equal(f, want, list[2].(arrayValue)[0], "%v", list[2])
		return
	}
	require.Equal(f, want, fmt.Sprintf("%s", list[3].(arrayValue)[0]))
}

// expectEnd reads the end of the connection.
func (f *front) expectEnd() {
	f.Helper()
	v, err := f.in.next()
	require.Error(f, err, "%v", v)
	require.NotErrorIs(f, err, os.ErrDeadlineExceeded)
}

// expectClosing reads the notification that the connection is closing.
func (f *front) expectClosing() {
	f.Helper()
	v, err := f.in.next()
	require.NoError(f, err)
	require.Equal(f, arrayValue{int64(kindNotification), methodClosing, arrayValue{}}, v)
}

// closing makes a health check on a new connection, and reports whether it is closing instead.
func (f *front) closing() bool {
	f.write(appendProbe(1, nil))
	v, err := f.in.next()
	require.NoError(f, err)
	return v.(arrayValue)[0] == int64(kindNotification)
}

package fakes

import (
	"encoding/json"
	"net"
	"testing"
	"time"

	"falldeal/lab/loopback"
	"falldeal/lab/workerpool"

	"github.com/stretchr/testify/require"
)

// startAgent serves an agent until the end of the test and returns its address.
func startAgent(t *testing.T, agent *Agent) (addr string) {
	t.Helper()
	ln := loopback.Listen(t)
	served := make(chan error, 1)
	go func() { served <- agent.Serve(ln) }()
	t.Cleanup(func() {
		require.NoError(t, ln.Close())
		require.ErrorIs(t, <-served, net.ErrClosed)
	})
	return ln.Addr().String()
}

// agentClient is an image server's connection to an agent.
type agentClient struct {
	conn    net.Conn
	decoder *json.Decoder
}

// subscribe connects to an agent and requests the notifications after offset.
func subscribe(t *testing.T, addr string, offset int) *agentClient {
	t.Helper()
	conn := loopback.Dial(t, addr)
	client := &agentClient{conn: conn, decoder: json.NewDecoder(conn)}
	client.send(t, command{Name: commandSubscribe, Offset: offset})
	require.Equal(t, notificationHandshake, client.receive(t).Name)
	return client
}

func (c *agentClient) send(t *testing.T, cmd command) {
	t.Helper()
	require.NoError(t, json.NewEncoder(c.conn).Encode(cmd))
}

func (c *agentClient) receive(t *testing.T) (n notification) {
	t.Helper()
	require.NoError(t, c.conn.SetReadDeadline(time.Now().Add(time.Minute)))
	require.NoError(t, c.decoder.Decode(&n))
	return n
}

// A run must succeed with its body as the result. A run with a call must wait until the call is answered or skipped,
// and end as interrupted if its request is completed before that.
func TestAgentRunOutcomes(t *testing.T) {
	for name, testCase := range map[string]struct {
		call   []byte
		resume func(t *testing.T, agent *Agent, client *agentClient)
		want   notification
	}{
		"without a call": {
			want: notification{Result: "success", Payload: []byte("body")},
		},
		"call answered": {
			call: []byte("SELECT"),
			resume: func(t *testing.T, _ *Agent, client *agentClient) {
				client.send(t, command{Name: commandReply, Req: "a"})
			},
			want: notification{Result: "success", Payload: []byte("body")},
		},
		"call skipped": {
			call: []byte("SELECT"),
			resume: func(t *testing.T, _ *Agent, client *agentClient) {
				client.send(t, command{Name: commandSkipCall, Req: "a"})
			},
			want: notification{Result: "success", Payload: []byte(DegradedResult)},
		},
		"request completed meanwhile": {
			call:   []byte("SELECT"),
			resume: func(_ *testing.T, agent *Agent, _ *agentClient) { agent.CompleteRequest("a") },
			want:   notification{Result: "interrupted"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			agent := &Agent{State: "steady", PlanRun: func(Launch) RunPlan { return RunPlan{Call: testCase.call} }}
			client := subscribe(t, startAgent(t, agent), 0)
			client.send(t, command{Name: commandLaunch, Req: "a", Method: "preview", Payload: []byte("body")})
			if testCase.resume != nil {
				request := client.receive(t)
				require.Equal(t, notificationRequest, request.Name)
				require.Equal(t, testCase.call, request.Payload)
				testCase.resume(t, agent, client)
			}
			outcome := client.receive(t)
			require.Equal(t, notificationOutcome, outcome.Name)
			require.Equal(t, testCase.want.Result, outcome.Result)
			require.Equal(t, testCase.want.Payload, outcome.Payload)
		})
	}
}

// Guards against notifications that are lost with a connection, and against a second run for a repeated launch. A new
// connection must receive the notifications after its offset.
func TestAgentResendsMissedNotifications(t *testing.T) {
	agent := &Agent{}
	addr := startAgent(t, agent)
	first := subscribe(t, addr, 0)
	for _, id := range []string{"a", "b", "a"} {
		first.send(t, command{Name: commandLaunch, Req: id})
	}
	require.Equal(t, 1, first.receive(t).Offset)
	require.Equal(t, 2, first.receive(t).Offset)
	agent.Disconnect()

	second := subscribe(t, addr, 1)
	resumed := second.receive(t)
	require.Equal(t, "b", resumed.Req)
	require.Equal(t, 2, resumed.Offset)
	second.send(t, command{Name: commandSample, Token: "s"})
	require.Equal(t, notificationSampled, second.receive(t).Name)
}

// Runs and reads must share the cores: a run and a read of 50 ms each take 100 ms together on one core.
func TestAgentSharesCoresBetweenRunsAndReads(t *testing.T) {
	started := time.Now()
	now := func() time.Duration { return time.Since(started) }
	agent := &Agent{
		Now:     now,
		Cores:   workerpool.NewPool(workerpool.Curve{Workers: 1, Speed: 1, Knee: 9}, now()),
		PlanRun: func(Launch) RunPlan { return RunPlan{Work: 50 * time.Millisecond} },
	}
	client := subscribe(t, startAgent(t, agent), 0)
	begun := time.Now()
	client.send(t, command{Name: commandLaunch, Req: "a"})
	read := agent.ReadRequest(50*time.Millisecond, 1)
	require.Equal(t, notificationOutcome, client.receive(t).Name)
	<-read
	require.GreaterOrEqual(t, time.Since(begun), 95*time.Millisecond)
}

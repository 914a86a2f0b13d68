package clients

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"falldeal/lab/fakes"
	"falldeal/lab/history"
	"falldeal/lab/loopback"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

func TestParseAnswer(t *testing.T) {
	overloaded := func(fields map[string]any) []any { return []any{"Overloaded", fields} }
	for name, testCase := range map[string]struct {
		failure, result any
		want            answer
	}{
		"served": {nil, []any{[]byte("body")}, answer{outcome: history.OutcomeServed}},
		"served, degraded": {
			nil, []any{[]byte(fakes.DegradedResult)},
			answer{outcome: history.OutcomeServed, degraded: true},
		},
		"another error":     {[]any{"Timeout"}, nil, answer{outcome: history.OutcomeFailed}},
		"error of no shape": {"oops", nil, answer{outcome: history.OutcomeFailed}},
		"rejected":          {[]any{"Overloaded"}, nil, answer{outcome: history.OutcomeRejected}},
		"rejected with retry-after": {
			overloaded(map[string]any{"after": "2.5"}), nil,
			answer{outcome: history.OutcomeRejected, retryAfter: 2500 * time.Microsecond},
		},
		"rejected for all": {
			overloaded(map[string]any{"last": "1", "after": "soon"}), nil,
			answer{outcome: history.OutcomeRejected, noRetry: true},
		},
	} {
		require.Equal(t, testCase.want, parseAnswer(testCase.failure, testCase.result), name)
	}
}

// startServer serves MessagePack-RPC until the test ends: answer returns the error and the result of a request. It
// returns the server and counts its requests.
func startServer(t *testing.T, name string, answer func() (failure, result any)) (Server, *atomic.Int64) {
	t.Helper()
	ln := loopback.Listen(t)
	requests := &atomic.Int64{}
	go func() {
		for conn, err := ln.Accept(); err == nil; conn, err = ln.Accept() {
			go serveRequests(conn, requests, answer)
		}
	}()
	return Server{Name: name, Addr: ln.Addr().String()}, requests
}

func serveRequests(conn net.Conn, requests *atomic.Int64, answer func() (failure, result any)) {
	defer conn.Close()
	encoder, decoder := msgpack.NewEncoder(conn), msgpack.NewDecoder(conn)
	for {
		message, err := decoder.DecodeSlice()
		if err != nil || len(message) != 4 {
			return
		}
		requests.Add(1)
		failure, result := answer()
		if encoder.Encode([]any{1, message[1], failure, result}) != nil {
			return
		}
	}
}

// Front ends must serve requests at the server that accepts them, retry what another rejects, and stay away from it for
// as long as it asks if they honor that.
func TestRun(t *testing.T) {
	rejecting, rejected := startServer(t, "rejecting", func() (failure, result any) {
		return []any{"Overloaded", map[string]string{"after": "3600000"}}, nil
	})
	serving, served := startServer(t, "serving", func() (failure, result any) {
		return nil, []any{[]byte("body")}
	})
	const frontEnds = 2
	workload := Workload{
		FrontEnds:         frontEnds,
		RequestsPerSecond: 200,
		Classes: []Class{{
			Name: "preview", ArrivalRatio: 1, MeanWork: time.Millisecond,
			Timeout: time.Minute, LatencyObjective: time.Minute, Value: 1,
		}},
		Policies: []Policy{{HonorRetryAfter: true}},
		KeyCount: 10,
		Seed:     1,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	log := history.NewLog()
	Run(ctx, workload, func() []Server { return []Server{rejecting, serving} }, log)
	events := log.Events()
	summary := history.SummarizeRequests(events)[""]
	require.NotNil(t, summary)
	require.Equal(t, summary.Requests, summary.Served)
	require.EqualValues(t, summary.Served, served.Load())
	require.EqualValues(t, summary.Attempts, served.Load()+rejected.Load())
	require.NotZero(t, rejected.Load())
	require.Empty(t, history.Check(events, history.Rules{Slack: time.Minute}))
}

// Without a server, a request must end as rejected when its client abandons it.
func TestRunWithoutServers(t *testing.T) {
	workload := Workload{
		FrontEnds:         1,
		RequestsPerSecond: 100,
		Classes:           []Class{{Name: "preview", ArrivalRatio: 1, Timeout: 10 * time.Millisecond, Value: 1}},
		Policies:          []Policy{{MaxAttempts: 3}},
		KeyCount:          1,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	log := history.NewLog()
	Run(ctx, workload, func() []Server { return nil }, log)
	summary := history.SummarizeRequests(log.Events())[""]
	require.NotNil(t, summary)
	require.Equal(t, summary.Requests, summary.Rejected)
	require.Zero(t, summary.Attempts)
}

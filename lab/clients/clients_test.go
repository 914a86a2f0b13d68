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

// A response must be classified as served, degraded, rejected or failed. Retry advice that cannot be parsed must be
// ignored.
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
		"another error":   {[]any{"Timeout"}, nil, answer{outcome: history.OutcomeFailed}},
		"malformed error": {"oops", nil, answer{outcome: history.OutcomeFailed}},
		"rejected":        {[]any{"Overloaded"}, nil, answer{outcome: history.OutcomeRejected}},
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

// startServer serves MessagePack-RPC until the end of the test. It answers each request with the error and the result
// that answer returns. It returns the server and the number of requests received.
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

// Guards against lost requests and against retries at a server that asked for a pause: each request must end as
// served by the accepting server, and every attempt must be recorded.
func TestFrontEndsRetryRejectedRequests(t *testing.T) {
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

// Guards against a front end that waits forever for a server: a request without one must end as rejected at its timeout.
func TestRequestsWithoutServersEndAsRejected(t *testing.T) {
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

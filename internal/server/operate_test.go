package server

import (
	"context"
	"testing"
	"time"

	"falldeal/internal/agent"

	"github.com/stretchr/testify/require"
)

// running lets the loop of an idle server take its turns.
func running(t *testing.T) *Server {
	s, _ := idle(t)
	ctx, cancel := context.WithCancel(context.Background())
	s.openFronts()
	go s.loop(ctx)
	t.Cleanup(func() { cancel(); <-s.ended })
	return s
}

// Front ends that an operator sends away see bad health checks until they are asked back, while the requests
// that still come are served. It holds for a server whose agent is not up yet, too.
func TestWithdraw(t *testing.T) {
	s := running(t)
	ctx := context.Background()
	p := &peer{}
	s.ConnectionOpened(p)
	health := func() any {
		for range 2 { // what was asked for is decided by the end of a turn
			_, err := ask(ctx, s, func() int { return 0 })
			require.NoError(t, err)
		}
		s.HealthCheck(p, 1, false)
		last, err := ask(ctx, s, func() any { return p.got[len(p.got)-1] })
		require.NoError(t, err)
		return last
	}
	ready := func() bool {
		is, err := s.Ready(ctx)
		require.NoError(t, err)
		return is
	}
	require.False(t, ready())
	require.NoError(t, s.Deregister(ctx))
	s.post(func() { s.greeted(agent.Notification{Kind: agent.Handshake, Result: agent.Steady}) })
	require.Equal(t, Unhealthy, health())
	require.False(t, ready())
	require.NoError(t, s.Reregister(ctx))
	require.Equal(t, Healthy, health())
	require.True(t, ready())
	require.NoError(t, s.Deregister(ctx))
	require.Equal(t, Unhealthy, health())
	s.Submit(p, 2, Attempt{ID: "ab", Class: "preview", ArrivedAt: time.Duration(time.Now().UnixNano()), Timeout: time.Second, MemoryKB: 1})
	require.Equal(t, Unhealthy, health())
	figures, err := s.AppendMetrics(ctx, nil)
	require.NoError(t, err)
	require.Contains(t, string(figures), "app.backend_calls:1|c\napp.inflight:1|g\n")

	// A process that is told to leave does not come back.
	s.Drain()
	require.ErrorIs(t, s.Reregister(ctx), errOver)
	require.False(t, ready())
}

package server

import (
	"context"
	"errors"
	"fmt"

	"falldeal/admission"
	"falldeal/internal/stats"
)

// What operators can ask of a running server. The exported methods may be called from any goroutine.

// errDraining is returned to operators after the loop has ended, and for a change of the registration during a drain.
var errDraining = errors.New("the server is draining")

// query makes the loop call f, and returns its result. It fails if the loop has ended, or if ctx ends first.
func query[T any](ctx context.Context, server *Server, f func() T) (result T, err error) {
	results := make(chan T, 1)
	select {
	case server.inbox.events <- task(func() { results <- f() }):
	case <-server.inbox.closed:
		return result, errDraining
	case <-ctx.Done():
		return result, fmt.Errorf("event loop does not respond: %w", ctx.Err())
	}
	select {
	case result = <-results:
		return result, nil
	case <-server.inbox.closed:
		return result, errDraining
	case <-ctx.Done():
		return result, fmt.Errorf("event loop does not respond: %w", ctx.Err())
	}
}

// Ready reports whether this process serves requests, and is neither draining nor deregistered.
func (s *Server) Ready(ctx context.Context) (bool, error) {
	return query(ctx, s, func() bool {
		return s.admission.started() && s.listeners.opened && !s.drain.started() && !s.health.deregistered
	})
}

// AppendMetrics appends the metrics to b.
func (s *Server) AppendMetrics(ctx context.Context, b []byte) ([]byte, error) {
	return query(ctx, s, func() []byte {
		return stats.Metrics{Counters: &s.stats, InFlight: s.connections.openRequests, Tables: s.tables()}.Append(b)
	})
}

// Deregister makes health checks fail from now on, so that front ends go elsewhere. Requests that still arrive are served
// as before.
func (s *Server) Deregister(ctx context.Context) error { return s.setDeregistered(ctx, true) }

// Reregister reverts Deregister.
func (s *Server) Reregister(ctx context.Context) error { return s.setDeregistered(ctx, false) }

func (s *Server) setDeregistered(ctx context.Context, deregistered bool) error {
	draining, err := query(ctx, s, func() bool {
		if !s.drain.started() && deregistered != s.health.deregistered {
			s.logRegistration(deregistered)
			s.health.deregistered = deregistered
			s.enqueueRegistration()
			s.publishStatus()
		}
		return s.drain.started()
	})
	if err == nil && draining {
		return errDraining
	}
	return err
}

// logRegistration logs that an operator has deregistered the server, or registered it again.
func (s *Server) logRegistration(deregistered bool) {
	if deregistered {
		s.log.Info("server deregistered by an operator")
	} else {
		s.log.Info("server registered by an operator")
	}
}

// enqueueRegistration notifies the controller that the server was deregistered, or registered again.
func (s *Server) enqueueRegistration() {
	if s.health.deregistered {
		s.admission.enqueue(admission.ServerDeregistered())
		return
	}
	s.admission.enqueue(admission.ServerReregistered())
}

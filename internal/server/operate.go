package server

import (
	"context"
	"errors"

	"falldeal/admission"
	"falldeal/internal/stats"
)

// What operators ask of a running server. These methods may be called from any goroutine.

var errDraining = errors.New("the server is leaving")

// query has the loop call f, and waits for what it returns.
func query[T any](ctx context.Context, server *Server, f func() T) (v T, err error) {
	got := make(chan T, 1)
	select {
	case server.inbox <- func() { got <- f() }:
	case <-server.done:
		return v, errDraining
	case <-ctx.Done():
		return v, ctx.Err()
	}
	select {
	case v = <-got:
		return v, nil
	case <-server.done:
		return v, errDraining
	case <-ctx.Done():
		return v, ctx.Err()
	}
}

// Ready reports whether this process serves and means to go on.
func (s *Server) Ready(ctx context.Context) (bool, error) {
	return query(ctx, s, func() bool { return s.controller != nil && s.opened && !s.drain.started && !s.deregistered })
}

// AppendMetrics appends the operators' figures.
func (s *Server) AppendMetrics(ctx context.Context, b []byte) ([]byte, error) {
	return query(ctx, s, func() []byte {
		return stats.Metrics{Counters: &s.stats, Open: s.connections.openCalls}.Append(b)
	})
}

// Deregister has front ends sent away by bad health answers; what still arrives is answered as ever.
func (s *Server) Deregister(ctx context.Context) error { return s.setDeregistered(ctx, true) }

// Reregister ends what Withdraw began.
func (s *Server) Reregister(ctx context.Context) error { return s.setDeregistered(ctx, false) }

func (s *Server) setDeregistered(ctx context.Context, deregistered bool) error {
	leaving, err := query(ctx, s, func() bool {
		if s.drain.started {
			return true
		}
		if deregistered != s.deregistered {
			s.log.WithField("withdrawn", deregistered).Info("told by an operator whether front ends are welcome")
			s.deregistered = deregistered
			s.enqueueRegistration()
			s.publishStatus()
		}
		return false
	})
	if err == nil && leaving {
		err = errDraining
	}
	return err
}

func (s *Server) enqueueRegistration() {
	kind := admission.EventReregister
	if s.deregistered {
		kind = admission.EventDeregister
	}
	s.enqueueEvent(admission.Event{Kind: kind})
}

package server

import (
	"context"
	"errors"

	"falldeal/admission"
	"falldeal/internal/stats"
)

// What operators ask of a running server. These methods may be called from any goroutine.

var errOver = errors.New("the server is leaving")

// ask has the loop call f, and waits for what it returns.
func ask[T any](ctx context.Context, s *Server, f func() T) (v T, err error) {
	got := make(chan T, 1)
	select {
	case s.in <- func() { got <- f() }:
	case <-s.ended:
		return v, errOver
	case <-ctx.Done():
		return v, ctx.Err()
	}
	select {
	case v = <-got:
		return v, nil
	case <-s.ended:
		return v, errOver
	case <-ctx.Done():
		return v, ctx.Err()
	}
}

// Ready reports whether this process serves and means to go on.
func (s *Server) Ready(ctx context.Context) (bool, error) {
	return ask(ctx, s, func() bool { return s.ctl != nil && s.opened && !s.drain.on && !s.withdrawn })
}

// AppendMetrics appends the operators' figures.
func (s *Server) AppendMetrics(ctx context.Context, b []byte) ([]byte, error) {
	return ask(ctx, s, func() []byte {
		return stats.Metrics{Counters: &s.stats, Open: s.peers.opened}.Append(b)
	})
}

// Deregister has front ends sent away by bad health answers; what still arrives is answered as ever.
func (s *Server) Deregister(ctx context.Context) error { return s.setWithdrawn(ctx, true) }

// Reregister ends what Withdraw began.
func (s *Server) Reregister(ctx context.Context) error { return s.setWithdrawn(ctx, false) }

func (s *Server) setWithdrawn(ctx context.Context, on bool) error {
	leaving, err := ask(ctx, s, func() bool {
		if s.drain.on {
			return true
		}
		if on != s.withdrawn {
			s.log.WithField("withdrawn", on).Info("told by an operator whether front ends are welcome")
			s.withdrawn = on
			s.tellWithdrawn()
			s.tellFleet()
		}
		return false
	})
	if err == nil && leaving {
		err = errOver
	}
	return err
}

func (s *Server) tellWithdrawn() {
	kind := admission.EventReregister
	if s.withdrawn {
		kind = admission.EventDeregister
	}
	s.happened(admission.Event{Kind: kind})
}

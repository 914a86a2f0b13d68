// Package console is the operators' address: a few calls over HTTP that ask one image server how it is and
// tell it to let front ends go elsewhere.
package console

import (
	"context"
	"log"
	"net"
	"net/http"
	"time"

	"falldeal/internal/logging"

	"golang.org/x/net/netutil"
)

const (
	mostConns = 32 // open at a time, of the descriptors that are left to other things than front ends
	maxHeader = 4 << 10
)

// limits bound how long a call takes.
type limits struct {
	call   time.Duration // for a caller to send it: it takes one of the places for connections
	answer time.Duration // for the server to say what it is asked
	write  time.Duration // for the caller to read that
}

// Callers are owed an answer within 1 s.
var inService = limits{call: time.Second, answer: 700 * time.Millisecond, write: 2 * time.Second}

// Instance is the server that the calls are about.
type Instance interface {
	// Ready reports whether this process serves.
	Ready(ctx context.Context) (bool, error)
	// AppendMetrics appends the figures, a line each.
	AppendMetrics(ctx context.Context, b []byte) ([]byte, error)
	// Deregister has health checks answered badly, and Restore well again.
	Deregister(ctx context.Context) error
	Reregister(ctx context.Context) error
}

// Page is one call more that a subsystem answers. Do must not block.
type Page struct {
	Pattern string // as that of an http.ServeMux
	Type    string // of what Do returns
	Do      func() []byte
}

// Serve answers calls that come to ln until ctx ends. It closes ln.
func Serve(ctx context.Context, ln net.Listener, s Instance, warn *logging.Limiter, pages ...Page) error {
	return inService.serve(ctx, ln, s, warn, pages...)
}

func (l limits) serve(ctx context.Context, ln net.Listener, s Instance, warn *logging.Limiter, pages ...Page) error {
	srv := &http.Server{Handler: l.handler(s, pages), ReadTimeout: l.call, WriteTimeout: l.call + l.answer + l.write,
		MaxHeaderBytes: maxHeader, ErrorLog: log.New(lines{warn}, "", 0)}
	srv.SetKeepAlivesEnabled(false)
	defer context.AfterFunc(ctx, func() { srv.Close() })()
	if err := srv.Serve(netutil.LimitListener(ln, mostConns)); ctx.Err() == nil {
		return err
	}
	return nil
}

// lines takes what the HTTP server has to say of its callers.
type lines struct{ warn *logging.Limiter }

func (l lines) Write(b []byte) (int, error) {
	l.warn.Warn("console", "call to the console: "+string(b), nil)
	return len(b), nil
}

func (l limits) handler(s Instance, pages []Page) http.Handler {
	mux := http.NewServeMux()
	answer := func(pattern string, do func(context.Context) (int, []byte, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), l.answer)
			defer cancel()
			code, text, err := do(ctx)
			if err != nil {
				code, text = http.StatusServiceUnavailable, []byte(err.Error()+"\n")
			}
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			w.WriteHeader(code)
			_, _ = w.Write(text) // a caller that has gone needs no answer
		})
	}
	answer("GET /ready", func(ctx context.Context) (int, []byte, error) {
		ready, err := s.Ready(ctx)
		if err == nil && !ready {
			return http.StatusServiceUnavailable, []byte("not ready\n"), nil
		}
		return http.StatusOK, []byte("ready\n"), err
	})
	answer("GET /metrics", func(ctx context.Context) (int, []byte, error) {
		b, err := s.AppendMetrics(ctx, nil)
		return http.StatusOK, b, err
	})
	answer("POST /drain", func(ctx context.Context) (int, []byte, error) {
		return http.StatusOK, []byte("front ends are sent away\n"), s.Deregister(ctx)
	})
	answer("POST /undrain", func(ctx context.Context) (int, []byte, error) {
		return http.StatusOK, []byte("front ends are welcome\n"), s.Reregister(ctx)
	})
	for _, p := range pages {
		mux.HandleFunc(p.Pattern, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", p.Type)
			_, _ = w.Write(p.Do())
		})
	}
	return mux
}

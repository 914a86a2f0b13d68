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
	maxConnections = 32 // open at a time, of the descriptors that are left to other things than front ends
	maxHeaderBytes = 4 << 10
)

// timeouts bound how long a call takes.
type timeouts struct {
	request  time.Duration // for a caller to send it: it takes one of the places for connections
	handle   time.Duration // for the server to say what it is asked
	response time.Duration // for the caller to read that
}

// Callers are owed an answer within 1 s.
var defaultTimeouts = timeouts{request: time.Second, handle: 700 * time.Millisecond, response: 2 * time.Second}

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
func Serve(ctx context.Context, listener net.Listener, instance Instance, limiter *logging.Limiter, pages ...Page) error {
	return defaultTimeouts.serve(ctx, listener, instance, limiter, pages...)
}

func (l timeouts) serve(ctx context.Context, listener net.Listener, instance Instance, limiter *logging.Limiter, pages ...Page) error {
	server := &http.Server{Handler: l.handler(instance, pages), ReadTimeout: l.request, WriteTimeout: l.request + l.handle + l.response,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(errorLogWriter{limiter}, "", 0)}
	server.SetKeepAlivesEnabled(false)
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(netutil.LimitListener(listener, maxConnections)); ctx.Err() == nil {
		return err
	}
	return nil
}

// errorLogWriter takes what the HTTP server has to say of its callers.
type errorLogWriter struct{ limiter *logging.Limiter }

func (l errorLogWriter) Write(b []byte) (int, error) {
	l.limiter.Warn("console", "call to the console: "+string(b), nil)
	return len(b), nil
}

func (l timeouts) handler(instance Instance, pages []Page) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, call func(context.Context) (int, []byte, error)) {
		mux.HandleFunc(pattern, func(response http.ResponseWriter, request *http.Request) {
			ctx, cancel := context.WithTimeout(request.Context(), l.handle)
			defer cancel()
			code, body, err := call(ctx)
			if err != nil {
				code, body = http.StatusServiceUnavailable, []byte(err.Error()+"\n")
			}
			response.Header().Set("Content-Type", "text/plain; charset=utf-8")
			response.WriteHeader(code)
			_, _ = response.Write(body) // a caller that has gone needs no answer
		})
	}
	handle("GET /ready", func(ctx context.Context) (int, []byte, error) {
		ready, err := instance.Ready(ctx)
		if err == nil && !ready {
			return http.StatusServiceUnavailable, []byte("not ready\n"), nil
		}
		return http.StatusOK, []byte("ready\n"), err
	})
	handle("GET /metrics", func(ctx context.Context) (int, []byte, error) {
		b, err := instance.AppendMetrics(ctx, nil)
		return http.StatusOK, b, err
	})
	handle("POST /drain", func(ctx context.Context) (int, []byte, error) {
		return http.StatusOK, []byte("front ends are sent away\n"), instance.Deregister(ctx)
	})
	handle("POST /undrain", func(ctx context.Context) (int, []byte, error) {
		return http.StatusOK, []byte("front ends are welcome\n"), instance.Reregister(ctx)
	})
	for _, page := range pages {
		mux.HandleFunc(page.Pattern, func(response http.ResponseWriter, _ *http.Request) {
			response.Header().Set("Content-Type", page.Type)
			_, _ = response.Write(page.Do())
		})
	}
	return mux
}

// Package console serves the operators' HTTP interface of one image server: readiness, metrics, and taking the server
// out of its front ends' lists and back in.
package console

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"falldeal/internal/logging"

	"golang.org/x/net/netutil"
)

const (
	maxConnections = 32 // open at a time: most of a process's descriptors are for front ends
	maxHeaderBytes = 4 << 10
)

// timeouts bound the parts of a call.
type timeouts struct {
	request  time.Duration // for the client to send it; meanwhile it takes up one of maxConnections
	handle   time.Duration // for the server to carry it out
	response time.Duration // for the client to read the response
}

// defaultTimeouts let a client that keeps to its own part have a response within 1 s.
var defaultTimeouts = timeouts{request: time.Second, handle: 700 * time.Millisecond, response: 2 * time.Second}

// Instance is the server that the calls are about. Its methods are called from many goroutines at once; an error is
// answered with status 503.
type Instance interface {
	// Ready reports whether this process serves.
	Ready(ctx context.Context) (bool, error)
	// AppendMetrics appends the metrics, a line each.
	AppendMetrics(ctx context.Context, b []byte) ([]byte, error)
	// Deregister has front ends go elsewhere: health checks fail from then on.
	Deregister(ctx context.Context) error
	// Reregister undoes Deregister.
	Reregister(ctx context.Context) error
}

// Page is a further call, answered by a part of the server. Body returns the response body; it must not block, and is called from
// many goroutines at once.
type Page struct {
	Pattern string // as for http.ServeMux
	Type    string // the body's content type
	Body    func() []byte
}

// Serve answers calls that come to listener until ctx ends, and closes it. It returns an error only if that was not for
// the end of ctx.
func Serve(
	ctx context.Context, listener net.Listener, instance Instance, limiter *logging.Limiter, pages ...Page,
) error {
	return defaultTimeouts.serve(ctx, listener, instance, limiter, pages...)
}

func (t timeouts) serve(
	ctx context.Context, listener net.Listener, instance Instance, limiter *logging.Limiter, pages ...Page,
) error {
	server := &http.Server{
		Handler:        newHandler(instance, t.handle, pages),
		ReadTimeout:    t.request,
		WriteTimeout:   t.request + t.handle + t.response,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       log.New(errorLogWriter{limiter}, "", 0),
	}
	server.SetKeepAlivesEnabled(false)
	stopClosing := context.AfterFunc(ctx, func() {
		_ = server.Close() // only of its listener and connections, which nothing is left to be done about
	})
	defer stopClosing()
	err := server.Serve(netutil.LimitListener(listener, maxConnections))
	if ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("serve the console: %w", err)
}

// errorLogWriter passes on what the HTTP server logs about its clients.
type errorLogWriter struct{ limiter *logging.Limiter }

func (w errorLogWriter) Write(b []byte) (int, error) {
	w.limiter.Warn("console", "console request failed", errors.New(strings.TrimSpace(string(b))))
	return len(b), nil
}

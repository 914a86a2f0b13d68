// Package console serves the HTTP interface of an image server for its operators: readiness, metrics, requests to deregister
// the server from front ends and to register it again, and pages that other packages add.
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
	maxConnections = 32 // open connections; few, as most file descriptors of the process are for front ends
	maxHeaderBytes = 4 << 10
)

// timeouts bound the phases of a request.
type timeouts struct {
	request  time.Duration // for the client to send the request; a slow client occupies one of maxConnections for this time
	handle   time.Duration // for the Instance to handle it
	response time.Duration // for the client to read the response
}

// defaultTimeouts give a client that sends its request without delay a response within 1 s.
var defaultTimeouts = timeouts{request: time.Second, handle: 700 * time.Millisecond, response: 2 * time.Second}

// Instance is the image server that a console controls. Its methods must be safe for concurrent use. If one returns an
// error, the console responds with status 503 and the message.
type Instance interface {
	// Ready reports whether this process serves.
	Ready(ctx context.Context) (bool, error)
	// AppendMetrics appends the metrics, one per line.
	AppendMetrics(ctx context.Context, b []byte) ([]byte, error)
	// Deregister makes front ends use other servers: health checks fail from then on.
	Deregister(ctx context.Context) error
	// Reregister reverses Deregister.
	Reregister(ctx context.Context) error
}

// Page is an additional endpoint of a console.
type Page struct {
	Pattern string        // as for http.ServeMux
	Type    string        // content type of the body
	Body    func() []byte // returns the body; must not block and must be safe for concurrent use
}

// Serve handles requests on listener until ctx ends, and then closes listener. It returns an error only if it ends before
// ctx does.
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
		_ = server.Close() // it closes the listener and all connections; nothing can be done about an error
	})
	defer stopClosing()
	err := server.Serve(netutil.LimitListener(listener, maxConnections))
	if ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("serving the console: %w", err)
}

// errorLogWriter logs the errors that the HTTP server reports about its clients, at a limited rate.
type errorLogWriter struct{ limiter *logging.Limiter }

// Write implements io.Writer for one line.
func (w errorLogWriter) Write(b []byte) (int, error) {
	w.limiter.Warn("console", "console request failed", errors.New(strings.TrimSpace(string(b))))
	return len(b), nil
}

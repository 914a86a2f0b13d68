package process

import (
	"context"

	"falldeal/internal/console"
	"falldeal/internal/server"
)

// Extension is what a program adds to an image server. All fields are optional.
type Extension struct {
	Fleet         server.Fleet                    // joined by the server, which publishes its state to it
	Prepare       func(*server.Server)            // called before the server runs, after it has joined Fleet
	Run           func(ctx context.Context) error // runs until ctx ends; an error is logged, and the server continues
	Reload        func()                          // called on SIGHUP, before the configuration is read again
	AppendMetrics func(b []byte) []byte           // appends metrics to those of the server
	Pages         []console.Page                  // served by the console in addition to its own
}

// attach connects the extension to a server that does not run yet.
func (e *Extension) attach(instance *server.Server) {
	if e.Fleet != nil {
		instance.JoinFleet(e.Fleet)
	}
	if e.Prepare != nil {
		e.Prepare(instance)
	}
}

// instanceWithMetrics is a server whose metrics include those of an extension.
type instanceWithMetrics struct {
	*server.Server
	appendMore func(b []byte) []byte // nil if the extension has no metrics
}

// AppendMetrics appends the server's metrics and those of the extension.
func (i instanceWithMetrics) AppendMetrics(ctx context.Context, b []byte) ([]byte, error) {
	b, err := i.Server.AppendMetrics(ctx, b)
	if err == nil && i.appendMore != nil {
		b = i.appendMore(b)
	}
	return b, err //nolint:wrapcheck // the console returns it to the operator as it is
}

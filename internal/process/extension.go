package process

import (
	"context"

	"falldeal/internal/console"
	"falldeal/internal/server"
)

// Extension is what a program adds to an image server. Fields that are nil add nothing.
type Extension struct {
	Fleet         server.Fleet                    // receives the server's state from its loop
	Prepare       func(*server.Server)            // is called before the server runs, after it has joined Fleet
	Run           func(ctx context.Context) error // until ctx ends; an error is logged, and the server goes on
	Reload        func()                          // on SIGHUP, before the configuration is read again
	AppendMetrics func(b []byte) []byte           // appends metrics to those of the server
	Pages         []console.Page
}

// attach connects a server that does not run yet with the extension.
func (e *Extension) attach(instance *server.Server) {
	if e.Fleet != nil {
		instance.JoinFleet(e.Fleet)
	}
	if e.Prepare != nil {
		e.Prepare(instance)
	}
}

// instanceWithMetrics is a server with the metrics of an extension.
type instanceWithMetrics struct {
	*server.Server
	appendMore func(b []byte) []byte // nil: none
}

// AppendMetrics appends the server's metrics and those of the extension.
func (i instanceWithMetrics) AppendMetrics(ctx context.Context, b []byte) ([]byte, error) {
	b, err := i.Server.AppendMetrics(ctx, b)
	if err == nil && i.appendMore != nil {
		b = i.appendMore(b)
	}
	return b, err //nolint:wrapcheck // it is the response of the console
}

package main

import (
	"context"
	"errors"
	"time"

	"falldeal/internal/process"
)

// traceCloseTimeout bounds how long the process waits at its end for the last spans to be written.
const traceCloseTimeout = 200 * time.Millisecond

// serve runs an image server as the given member until a signal stops it.
func serve(served *member, signals *process.Signals) error {
	if served.fleet != nil && !served.retryBind {
		if err := served.fleet.Listen(); err != nil {
			return served.fileError(err)
		}
	}
	err := process.Serve(signals, served.config, served.opts.configPath, served.log, served.extension)
	if served.tracer == nil {
		return err //nolint:wrapcheck // the error names what failed
	}
	ctx, cancel := context.WithTimeout(context.Background(), traceCloseTimeout)
	defer cancel()
	return errors.Join(err, served.tracer.Close(ctx))
}

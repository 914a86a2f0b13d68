package main

import (
	"errors"
	"fmt"

	"falldeal/internal/process"

	"github.com/sirupsen/logrus"
)

// serve runs an image server without a fleet until a signal stops it.
func serve(opts *options) error {
	level, err := logrus.ParseLevel(opts.logLevel)
	if err != nil {
		return fmt.Errorf("flag --log-level: %w", err)
	}
	signals := process.Catch()
	conf, err := signals.Load(opts.configPath)
	if errors.Is(err, process.ErrStopped) {
		return nil
	}
	if err != nil {
		return err //nolint:wrapcheck // the error names the file and the key
	}
	log := logrus.New()
	log.SetLevel(level)
	//nolint:wrapcheck // the error names the part of the server that failed
	return process.Serve(signals, conf, opts.configPath, log, process.Extension{})
}

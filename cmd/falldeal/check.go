package main

import (
	"fmt"
	"io"

	"falldeal/internal/config"
)

// check reads the configuration and returns what is wrong with it.
func check(opts *options, out io.Writer) error {
	conf, err := config.Load(opts.configPath)
	if err != nil {
		return err //nolint:wrapcheck // it names the file and the key
	}
	fmt.Fprintf(out, "configuration of %s is valid: %d classes, listening on %s\n",
		conf.Name, len(conf.Classes), conf.Listen)
	return nil
}

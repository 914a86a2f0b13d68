package main

import (
	"fmt"
	"io"

	"falldeal/internal/config"
)

// check validates the configuration and prints a summary. The error names the file and the invalid key.
func check(opts *options, out io.Writer) error {
	conf, err := config.Load(opts.configPath)
	if err != nil {
		return err //nolint:wrapcheck // the error names the file and the key
	}
	fmt.Fprintf(out, "configuration of %s is valid: %d classes, listening on %s\n",
		conf.Name, len(conf.Classes), conf.Listen)
	return nil
}

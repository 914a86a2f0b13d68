package config

import (
	"os"
	"path/filepath"
	"strconv"

	"falldeal/internal/configcheck"
)

// Environment variables that override or complete the file.
const (
	envPath      = "GW_CONFIG"
	envName      = "GW_NAME"
	envListen    = "GW_LISTEN"
	envConsole   = "GW_CONSOLE"
	envInherited = "GW_INHERITED_FD"
)

// handoverSocket is the file, in the directory for temporary files, by which processes of one image server hand over.
const handoverSocket = "falldeal.sock"

// applyEnvironment overrides what the environment sets. env returns the value of a variable, or "".
func (c *Config) applyEnvironment(env func(string) string) error {
	for _, override := range []struct {
		variable string
		value    *string
	}{
		{envName, &c.Name},
		{envListen, &c.Listen},
		{envConsole, &c.Console},
	} {
		if value := env(override.variable); value != "" {
			*override.value = value
		}
	}
	inherited := env(envInherited)
	if inherited == "" {
		return nil
	}
	fd, err := strconv.ParseUint(inherited, 10, 16)
	if err != nil || fd == 0 {
		return configcheck.Errorf(envInherited, "%q is no descriptor", inherited)
	}
	c.InheritedFD = uintptr(fd)
	c.Handover = filepath.Join(os.TempDir(), handoverSocket)
	return nil
}

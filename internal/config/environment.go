package config

import (
	"os"
	"path/filepath"
	"strconv"

	"falldeal/internal/configcheck"
)

// Environment variables that name, override or complete the file.
const (
	envPath      = "GW_CONFIG"
	envName      = "GW_NAME"
	envListen    = "GW_LISTEN"
	envConsole   = "GW_CONSOLE"
	envInherited = "GW_INHERITED_FD"
)

// handoverSocket is the name of the socket, in the directory for temporary files, over which a process of an image server
// hands over to its successor.
const handoverSocket = "falldeal.sock"

// applyEnvironment applies the environment variables that override or complete the file. env returns the value of a
// variable, or "".
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
	c.HandoverPath = filepath.Join(os.TempDir(), handoverSocket)
	return nil
}

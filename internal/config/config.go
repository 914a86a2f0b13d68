// Package config reads the JSON configuration of an image server, checks it and fills in defaults.
package config

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"falldeal/admission"
	"falldeal/internal/configcheck"

	"github.com/valyala/fastjson"
)

// Front ends may use one descriptor in frontDescriptorsDivisor, calls to the store one in storeDescriptorsDivisor.
const (
	frontDescriptorsDivisor = 2
	storeDescriptorsDivisor = 8
)

// Limits bound this process.
type Limits struct {
	Cores           float64
	MemoryMB        int
	FileDescriptors int
}

// MaxFrontConnections returns how many connections front ends may have open.
func (l Limits) MaxFrontConnections() int { return l.FileDescriptors / frontDescriptorsDivisor }

// MaxStoreConnections returns how many connections to the store may be open.
func (l Limits) MaxStoreConnections() int { return l.FileDescriptors / storeDescriptorsDivisor }

// Config is the configuration of an image server.
type Config struct {
	Name                string // that the announce service registers
	Listen              string // addresses are an IP and a port
	Agent               string
	Store               string // "" = requests call no store
	Announce            string
	Console             string  // where operators call; "" = nowhere
	InheritedFD         uintptr // descriptor of a socket that listens for front ends already; 0 = none
	Handover            string  // path of the socket by which processes hand over; "" = there is only one process
	Seed                uint64
	StopTimeout         time.Duration // from SIGTERM to the end of the process
	ReplacedStopTimeout time.Duration // the same once a successor process serves
	Limits              Limits
	Settings            admission.Settings
	Classes             []string // names, in the order of Settings.Classes
	Tenants             []string // names, in the order of Settings.Tenants
	Gauges              []string // names, in the order in which the agent reports them
	UnsupportedKeys     []string // keys of settings that the protocols can't carry and that are off therefore

	keys map[string]bool // that were given, by their paths
}

// Load reads the file at path, or at GW_CONFIG where path is empty. GW_NAME, GW_LISTEN and GW_CONSOLE, where set,
// override the file's keys. A value that is missing or wrong is a *configcheck.KeyError.
func Load(path string) (*Config, error) {
	if path == "" {
		if path = os.Getenv(envPath); path == "" {
			return nil, configcheck.Errorf(envPath, "not set, and no --config given")
		}
	}
	text, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	cfg, err := Parse(text, os.Getenv)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return cfg, nil
}

// Parse reads a configuration. env returns the value of an environment variable, or "". A value that is missing or wrong
// is a *configcheck.KeyError.
func Parse(text []byte, env func(string) string) (*Config, error) {
	value, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, err //nolint:wrapcheck // Load adds the path, and the text says that it is of JSON
	}
	if value.Type() != fastjson.TypeObject {
		return nil, fmt.Errorf("want an object, got %v", value.Type())
	}
	root := newObject(value)
	cfg := read(root)
	if err := cfg.applyEnvironment(env); err != nil {
		return nil, err
	}
	cfg.dropUnsupported()
	cfg.applyDefaults(root)
	cfg.check(root)
	cfg.Seed = root.hex("seed")
	cfg.ReplacedStopTimeout = replacedStopTimeout(cfg.Settings.Classes)
	cfg.keys = map[string]bool{}
	root.visitKeys(func(key string) { cfg.keys[key] = true })
	if err := root.failure(); err != nil {
		return nil, err
	}
	return cfg, nil
}

// read reads all keys but the seed as they are given.
func read(root object) *Config {
	if !root.value.Exists("settings") {
		root.fail("settings", configcheck.ErrMissing)
	}
	limits := root.object("limits")
	settings := root.object("settings")
	return &Config{
		Name:        root.text("name"),
		Listen:      root.text("listen"),
		Agent:       root.text("agent"),
		Store:       root.text("store"),
		Announce:    root.text("announce"),
		Console:     root.text("console"),
		StopTimeout: time.Duration(root.integer("stop_ms")) * time.Millisecond,
		Limits: Limits{
			Cores:           limits.number("cores"),
			MemoryMB:        int(limits.integer("memory_mb")),
			FileDescriptors: int(limits.integer("sockets")),
		},
		Settings: readSettings(settings),
		Gauges:   settings.object("FamilyInfo").texts("Gauges"),
		Classes:  readNames(settings.objects("Lanes")),
		Tenants:  readNames(settings.objects("Tenants")),
	}
}

func readNames(list []object) []string {
	var names []string
	for _, item := range list {
		names = append(names, item.text("Name"))
	}
	return names
}

// Successor reads the file at path for a process that runs with c. A key that c was given and the file lacks is a
// *configcheck.KeyError: the file was cut short or is half written, and does not ask for the default.
func (c *Config) Successor(path string) (*Config, error) {
	next, err := Load(path)
	if err != nil {
		return nil, err
	}
	for _, key := range slices.Sorted(maps.Keys(c.keys)) {
		if !next.keys[key] {
			return nil, fmt.Errorf("configuration: %w", configcheck.Errorf(key, "missing, but set in the current configuration"))
		}
	}
	return next, nil
}

// dropUnsupported turns off what the settings allow and the protocols can't carry: the agent has no command that stops a
// run, answers carry no free value, and a read may not be answered with the result of another. No peer depends on any of
// them, but a controller that counted on one would wait for ever.
func (c *Config) dropUnsupported() {
	settings := &c.Settings
	for _, feature := range []struct {
		key  string
		used bool
	}{
		{"Halt", settings.Halt != admission.HaltOff},
		{"Advert", settings.Advert != admission.AdvertOff},
		{"FreshForUs", settings.CacheTTL > 0},
	} {
		if feature.used {
			c.UnsupportedKeys = append(c.UnsupportedKeys, "settings.FamilyInfo."+feature.key)
		}
	}
	settings.Halt = admission.HaltOff
	settings.Advert = admission.AdvertOff
	settings.CacheTTL = min(settings.CacheTTL, 0)
}

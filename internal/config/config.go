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

// Parts of the file descriptors that each kind of connection may use.
const (
	frontDescriptorsDivisor = 2 // connections of front ends: one half
	storeDescriptorsDivisor = 8 // connections to the store: one eighth
)

// Limits bound the resources of this process.
type Limits struct {
	Cores           float64 // default 1
	MemoryMB        int     // default 192
	FileDescriptors int     // default 1024
}

// MaxFrontConnections returns the maximum number of open connections of front ends.
func (l Limits) MaxFrontConnections() int { return l.FileDescriptors / frontDescriptorsDivisor }

// MaxStoreConnections returns the maximum number of open connections to the store.
func (l Limits) MaxStoreConnections() int { return l.FileDescriptors / storeDescriptorsDivisor }

// Config is the configuration of an image server. Addresses are an IP address and a port.
type Config struct {
	Name                string        // name under which the announce service registers the server
	Listen              string        // address for front ends
	Agent               string        // address of the agent
	Store               string        // address of the store; "": requests call no store
	Announce            string        // address of the announce service
	Console             string        // address for operators; "": no console
	InheritedFD         uintptr       // descriptor of a socket that already listens for front ends; 0: none
	HandoverPath        string        // of the socket for the handover between processes; "": no handover
	Seed                uint64        // random seed
	StopTimeout         time.Duration // maximum time from SIGTERM to the end of the process; default 3.2 s
	ReplacedStopTimeout time.Duration // maximum time to the end of the process once a successor process has replaced it
	Limits              Limits
	Settings            admission.Settings
	Classes             []string // names, in the order of Settings.Classes
	Tenants             []string // names, in the order of Settings.Tenants
	Gauges              []string // names, in the order in which the agent reports the gauges
	UnsupportedKeys     []string // keys of settings that were switched off because the protocols do not support them

	keys map[string]bool // paths of the keys in the file, as object.visitKeys has them
}

// Load reads the file at path, or at GW_CONFIG if path is empty. GW_NAME, GW_LISTEN and GW_CONSOLE override keys of the file
// if they are set. GW_INHERITED_FD sets InheritedFD and HandoverPath. The error is a *configcheck.KeyError, possibly wrapped,
// if a value is missing or invalid.
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

// Parse parses the text of a configuration file. env returns the value of an environment variable, or "". The error is a
// *configcheck.KeyError if a value is missing or invalid.
func Parse(text []byte, env func(string) string) (*Config, error) {
	value, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, err //nolint:wrapcheck // Load adds the path, and the message says that it is about JSON
	}
	if value.Type() != fastjson.TypeObject {
		return nil, fmt.Errorf("want a JSON object, got %v", value.Type())
	}
	root := newObject(value)
	cfg := read(root)
	if err := cfg.applyEnvironment(env); err != nil {
		return nil, err
	}
	cfg.disableUnsupported()
	cfg.applyDefaults(root)
	cfg.check(root)
	cfg.Seed = root.hex("seed")
	cfg.ReplacedStopTimeout = replacedStopTimeout(cfg.Settings.Classes)
	cfg.keys = map[string]bool{}
	root.visitKeys(func(key string) { cfg.keys[key] = true })
	if err := root.err(); err != nil {
		return nil, err
	}
	return cfg, nil
}

// read reads all keys except the seed, without defaults.
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

// readNames returns the names of classes or tenants.
func readNames(list []object) []string {
	var names []string
	for _, item := range list {
		names = append(names, item.text("Name"))
	}
	return names
}

// LoadNext loads the file at path to replace c, the current configuration. It returns a wrapped *configcheck.KeyError for a
// key that c has and the file lacks: such a file is treated as truncated or partly written, and not as one that relies
// on the default.
func (c *Config) LoadNext(path string) (*Config, error) {
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

// disableUnsupported switches off features of the settings that the protocols do not support: the agent has no command
// that stops a run, responses have no field for an advertised value, and a read must not be answered with the result of
// another read. No peer depends on these features, but a controller that relied on one would wait forever.
func (c *Config) disableUnsupported() {
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
	settings.CacheTTL = min(settings.CacheTTL, 0) // check rejects a negative value
}

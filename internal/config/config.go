// Package config is the one place where configuration is read, checked and given its defaults.
package config

import (
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"falldeal/admission"

	"github.com/valyala/fastjson"
)

// What the environment may set.
const (
	envPath      = "GW_CONFIG"
	envName      = "GW_NAME"
	envListen    = "GW_LISTEN"
	envConsole   = "GW_CONSOLE"
	envInherited = "GW_INHERITED_FD"
)

// Defaults of keys that may be absent, and the least values that a server can work with.
const (
	defaultStopTimeout = 3200 * time.Millisecond

	// A process that was replaced is given the longest deadline, up to maxReplacedWait, and some time to end.
	maxReplacedWait = 3 * time.Second
	replacedMargin  = 700 * time.Millisecond

	defaultCores    = 1.0
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 32
	minSockets      = 64
)

// Limits bound this process.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int // file descriptors
}

// Front ends may take one descriptor in frontSocketsDivisor, calls to the store one in storeSocketsDivisor.
const (
	frontSocketsDivisor = 2
	storeSocketsDivisor = 8
)

// FrontSockets is how many connections front ends may have open.
func (l Limits) FrontSockets() int { return l.Sockets / frontSocketsDivisor }

// StoreSockets is how many connections to the store may be open.
func (l Limits) StoreSockets() int { return l.Sockets / storeSocketsDivisor }

// Config is what an image server is told at its start.
type Config struct {
	Name                string // under which the announce service lists it
	Listen              string
	Agent               string
	Store               string
	Announce            string
	Console             string  // where operators call; "" = nowhere
	InheritedFD         uintptr // descriptor of a socket that listens for front ends already; 0 = none
	Handover            string  // path at which the processes of one image server meet; "" = there is only one
	Seed                uint64
	StopTimeout         time.Duration // from SIGTERM to the end of the process
	ReplacedStopTimeout time.Duration // the same where a newer process has taken its place
	Limits              Limits
	Settings            admission.Settings
	Classes             []string // names, in the order of Settings.Classes
	Tenants             []string // names, in the order of Settings.Tenants
	Gauges              []string // names, in the order in which the agent reports them
	Unused              []string // keys of the settings that allow what the sockets have no message for

	keys map[string]bool // that were given, by their paths
}

// Load reads the file at path, or at GW_CONFIG where path is empty. GW_NAME and GW_LISTEN, where
// set, override the file's keys.
func Load(path string) (*Config, error) {
	if path == "" {
		if path = os.Getenv(envPath); path == "" {
			return nil, errors.New(envPath + ": not set, and no --config given")
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	cfg, err := Parse(text, os.Getenv)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return cfg, nil
}

// Parse reads a configuration; an error names the key at fault. env is where variables are read.
func Parse(text []byte, env func(string) string) (*Config, error) {
	value, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, err
	}
	if value.Type() != fastjson.TypeObject {
		return nil, fmt.Errorf("want an object, got %v", value.Type())
	}
	root := object{value: value, err: &err}
	if !value.Exists("settings") {
		root.fail("settings", "missing")
	}
	limits, settings := root.object("limits"), root.object("settings")
	cfg := &Config{
		Name: root.text("name"), Listen: root.text("listen"), Agent: root.text("agent"), Store: root.text("store"),
		Announce: root.text("announce"), Console: root.text("console"),
		StopTimeout: time.Duration(root.integer("stop_ms")) * time.Millisecond,
		Limits: Limits{Cores: limits.number("cores"), MemoryMB: int(limits.integer("memory_mb")),
			Sockets: int(limits.integer("sockets"))},
		Settings: readSettings(settings),
		Gauges:   settings.object("FamilyInfo").texts("Gauges"),
	}
	for _, class := range settings.objects("Lanes") {
		cfg.Classes = append(cfg.Classes, class.text("Name"))
	}
	for _, tenant := range settings.objects("Tenants") {
		cfg.Tenants = append(cfg.Tenants, tenant.text("Name"))
	}
	if name := env(envName); name != "" {
		cfg.Name = name
	}
	if listen := env(envListen); listen != "" {
		cfg.Listen = listen
	}
	if console := env(envConsole); console != "" {
		cfg.Console = console
	}
	if text := env(envInherited); text != "" {
		fd, err := strconv.ParseUint(text, 10, 16)
		if err != nil || fd == 0 {
			return nil, fmt.Errorf("%s: %q is no descriptor", envInherited, text)
		}
		cfg.InheritedFD, cfg.Handover = uintptr(fd), filepath.Join(os.TempDir(), "falldeal.sock")
	}
	cfg.dropUnsupported()
	cfg.applyDefaults(root)
	cfg.checkAddresses(root)
	cfg.checkSettings(settings)
	cfg.Seed = root.hex("seed")
	for _, class := range cfg.Settings.Classes {
		cfg.ReplacedStopTimeout = max(cfg.ReplacedStopTimeout, min(class.Deadline, maxReplacedWait)+replacedMargin)
	}
	cfg.keys = map[string]bool{}
	root.visitKeys(func(key string) { cfg.keys[key] = true })
	if err != nil {
		return nil, err
	}
	return cfg, nil
}

// Successor reads the file at path for a process that runs with c. It fails on a key that c was given and the
// file lacks: that is a file cut short or half written, not a wish for the default.
func (cfg *Config) Successor(path string) (*Config, error) {
	next, err := Load(path)
	if err != nil {
		return nil, err
	}
	for _, key := range slices.Sorted(maps.Keys(cfg.keys)) {
		if !next.keys[key] {
			return nil, fmt.Errorf("configuration: %s: missing, and given in the one in force", key)
		}
	}
	return next, nil
}

// applyDefaults fills in keys that are absent; one that is there must make sense.
func (c *Config) applyDefaults(root object) {
	limits := root.object("limits")
	if !root.value.Exists("stop_ms") {
		c.StopTimeout = defaultStopTimeout
	}
	if !root.value.Exists("limits", "cores") {
		c.Limits.Cores = defaultCores
	}
	if !root.value.Exists("limits", "memory_mb") {
		c.Limits.MemoryMB = defaultMemoryMB
	}
	if !root.value.Exists("limits", "sockets") {
		c.Limits.Sockets = defaultSockets
	}
	switch {
	case c.StopTimeout <= 0 || c.StopTimeout > time.Hour:
		root.fail("stop_ms", "%v is not between 1 ms and an hour", c.StopTimeout)
	case !(c.Limits.Cores > 0):
		limits.fail("cores", "%v, want more than 0", c.Limits.Cores)
	case c.Limits.MemoryMB < minMemoryMB:
		limits.fail("memory_mb", "%d, want at least %d", c.Limits.MemoryMB, minMemoryMB)
	case c.Limits.Sockets < minSockets:
		limits.fail("sockets", "%d, want at least %d", c.Limits.Sockets, minSockets)
	}
}

func (c *Config) checkAddresses(root object) {
	if c.Name == "" {
		root.fail("name", "missing")
	}
	for _, entry := range []struct{ key, addr string }{
		{"listen", c.Listen}, {"agent", c.Agent}, {"store", c.Store}, {"announce", c.Announce}, {"console", c.Console}} {
		if entry.addr == "" {
			if entry.key != "console" && (entry.key != "store" || c.Settings.Dependency != admission.DependencyNone) {
				root.fail(entry.key, "missing")
			}
		} else if err := checkAddress(entry.addr, entry.key == "listen" || entry.key == "console"); err != nil {
			root.fail(entry.key, "%v", err)
		}
	}
}

// dropUnsupported has the controller do without what the settings allow and the sockets can't carry: the agent has no command
// that stops a run, answers carry no free value, and a read may not be answered with the result of another. None of
// them is owed to anybody; a controller that counted on one would wait for what never comes.
func (c *Config) dropUnsupported() {
	settings := &c.Settings
	for _, feature := range []struct {
		key  string
		used bool
	}{{"Halt", settings.Halt != admission.HaltOff}, {"Advert", settings.Advert != admission.AdvertOff}, {"FreshForUs", settings.CacheTTL > 0}} {
		if feature.used {
			c.Unused = append(c.Unused, "settings.FamilyInfo."+feature.key)
		}
	}
	settings.Halt, settings.Advert, settings.CacheTTL = admission.HaltOff, admission.AdvertOff, min(settings.CacheTTL, 0)
}

// checkAddress accepts a numeric address with a port: there is no name service to ask. Port 0, any that
// is free, makes sense only where this process listens.
func checkAddress(addr string, listens bool) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address", host)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 && !listens {
		return fmt.Errorf("%q is not a port", port)
	}
	return nil
}

// checkSettings finds what no image server can be run with; the controller trusts the rest.
func (c *Config) checkSettings(set object) {
	s, f, inv := &c.Settings, set.object("FamilyInfo"), set.object("Invariants")
	switch {
	case s.Cores < 1:
		f.fail("Cpus", "%d, want at least 1", s.Cores)
	case !(s.MemoryKB > 0):
		f.fail("MemoryKb", "%v, want more than 0", s.MemoryKB)
	case s.RunningMemoryFactor < 0:
		f.fail("Blowup", "negative")
	case s.KeyMemoryKB < 0:
		f.fail("KbPerKey", "negative")
	case s.MaxCallsInFlight < 0:
		f.fail("CallsOut", "negative")
	}
	for _, t := range []struct {
		o    object
		key  string
		time time.Duration
	}{{f, "CallsOverUs", s.CallsWindow}, {f, "StaysForUs", s.AbandonedCallTime}, {f, "FreshForUs", s.CacheTTL},
		{f, "IdleUs", s.IdleTimeout}, {inv, "ColdUs", s.SlowStartTime}, {inv, "FallUs", s.ConcurrencyWindow},
		{inv, "GraceToAnswerUs", s.AnswerGrace}, {inv, "StopSendingWithinUs", s.DrainGrace},
		{set.object("Limits"), "MaxRetryAfterUs", s.MaxRetryAfter}, {set, "TickUs", s.Tick}} {
		if t.time < 0 {
			t.o.fail(t.key, "negative time %v", t.time)
		}
	}
	seen := map[string]bool{}
	for i, l := range set.objects("Lanes") {
		if i >= len(s.Classes) {
			return // an earlier key of the list was at fault
		}
		k := s.Classes[i]
		switch {
		case c.Classes[i] == "":
			l.fail("Name", "missing")
		case seen[c.Classes[i]]:
			l.fail("Name", "%q is used twice", c.Classes[i])
		case k.LatencyObjective <= 0:
			l.fail("AimUs", "want more than 0")
		case k.Deadline <= 0:
			l.fail("DeadlineUs", "want more than 0")
		case k.IdempotencyWindow < 0:
			l.fail("KeyTtlUs", "negative time %v", k.IdempotencyWindow)
		}
		seen[c.Classes[i]] = true
	}
}

// Digest tells two configurations apart by what decisions are based on: instances that are to do the same have the
// same one. The file is that of Load. What differs between instances by itself, addresses and whether a server is
// cold, is left out.
func Digest(path string) (uint64, error) {
	if path == "" {
		path = os.Getenv(envPath)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("configuration: %w", err)
	}
	value, err := fastjson.ParseBytes(text)
	if err != nil {
		return 0, fmt.Errorf("configuration %s: %w", path, err)
	}
	settings := value.Get("settings")
	if settings == nil {
		return 0, fmt.Errorf("configuration %s: settings: missing", path)
	}
	if info := settings.Get("FamilyInfo"); info != nil {
		info.Del("Cold")
	}
	hash := fnv.New64a()
	hash.Write(settings.MarshalTo(nil))
	return hash.Sum64(), nil
}

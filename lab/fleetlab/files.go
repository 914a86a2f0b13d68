package fleetlab

import (
	_ "embed"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/template"
	"time"

	"falldeal/lab/clients"
)

// Files in the directory of a member.
const (
	configFile    = "config.json"
	operatorsFile = "operators.toml"
	keyFile       = "fleet.key"
	logFile       = "log"
)

// Only the owner can access the directories and files of members.
const (
	dirMode  = 0o700
	fileMode = 0o600
)

// stallTime is how long the event loop of a server is blocked by a faults.KindStall.
const stallTime = 15 * time.Second

//go:embed config.json.tmpl
var configText string

var configTemplate = template.Must(template.New(configFile).Parse(configText))

// configValues are the values of config.json.tmpl.
type configValues struct {
	Name, FrontAddr, AgentAddr, AnnounceAddr, StoreAddr, ConsoleAddr string

	Seed                 uint64
	Members, Cores       int
	CallQuota            float64 // maximum number of calls that the member has in flight to the store
	WarmupMicros         int64   // warm-up time of the agent in µs
	CallsByClass         string  // JSON list elements: whether requests of the class call the store
	DegradedValueByClass string  // JSON list elements: value of the class without the call, as a ratio of its full value
	Classes              string  // JSON list elements, see classConfig
}

// writeFiles writes the configuration and the operators' file that the member's process is started with.
func (m *Member) writeFiles() error {
	if err := os.MkdirAll(m.dir, dirMode); err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	var config strings.Builder
	if err := configTemplate.Execute(&config, m.configValues()); err != nil {
		return fmt.Errorf("generate configuration of %s: %w", m.Name, err)
	}
	if err := m.writeFile(configFile, config.String()); err != nil {
		return err
	}
	return m.WriteOperatorsFile(m.lab.key)
}

// configValues returns the values of the member's configuration.
func (m *Member) configValues() configValues {
	options := &m.lab.options
	var classes, calls, degraded []string
	for i := range options.Classes {
		class := &options.Classes[i]
		classes = append(classes, classConfig(class))
		calls = append(calls, strconv.FormatBool(callsStore(class.Name)))
		degraded = append(degraded, strconv.FormatFloat(class.DegradedValueRatio, 'g', -1, 64))
	}
	return configValues{
		Name:                 m.Name,
		FrontAddr:            m.FrontAddr,
		AgentAddr:            m.agentAddr,
		AnnounceAddr:         m.lab.announceAddr(),
		StoreAddr:            m.lab.storeAddr(m.number % len(options.Zones)),
		ConsoleAddr:          m.ConsoleAddr,
		Seed:                 options.Seed + uint64(m.number) + 1,
		Members:              options.Members,
		Cores:                options.Cores,
		CallQuota:            float64(options.Slots*len(options.Zones)) / float64(options.Members),
		WarmupMicros:         options.WarmupTime.Microseconds(),
		CallsByClass:         strings.Join(calls, ","),
		DegradedValueByClass: strings.Join(degraded, ","),
		Classes:              strings.Join(classes, ","),
	}
}

// classConfig returns the configuration of a class as a JSON object.
func classConfig(class *clients.Class) string {
	idempotency := "safe"
	window := defaultIdempotencyWindow
	if class.IdempotentByKey {
		idempotency = "keyed"
		window = IdempotencyWindow
	}
	return fmt.Sprintf(
		`{"Name":%q,"AimUs":%d,"DeadlineUs":%d,"Idempotency":%q,"KeyTtlUs":%d,"LateWorth":0,"Value":%g}`,
		class.Name, class.LatencyObjective.Microseconds(), class.Timeout.Microseconds(),
		idempotency, window.Microseconds(), class.Value)
}

// WriteOperatorsFile writes the operators' file. It also writes the key file unless keys is empty or the first key is
// "". The first key encrypts; the others only decrypt. The process reads the files at its next start or on SIGHUP.
func (m *Member) WriteOperatorsFile(keys ...string) error {
	options := &m.lab.options
	var text strings.Builder
	fmt.Fprintf(&text, "[fleet]\nlisten = %q\nadvertise = %q\n", m.GossipListenAddr, m.GossipAddr)
	fmt.Fprintf(&text, "seeds = [%s]\nregion = %q\nzone = %q\n", m.lab.seedList(), options.Region, m.Zone)
	fmt.Fprintf(&text, "size = %d\nprobe_every = %q\n", options.Members, options.ProbeInterval)
	if len(keys) > 0 && keys[0] != "" {
		if err := m.writeFile(keyFile, strings.Join(keys, "\n")+"\n"); err != nil {
			return err
		}
		fmt.Fprintf(&text, "key_file = %q\n", keyFile)
	}
	fmt.Fprintf(&text, "[overload]\nshares = %t\ncutoff = %t\nprobes = %t\n",
		options.QuotaLeasing, options.Shedding, options.CoordinatedProbes)
	m.mu.Lock()
	fmt.Fprintf(&text, "[drill]\nclock = %q\nwedge = %q\n", m.clockSkew, stallTime)
	m.mu.Unlock()
	return m.writeFile(operatorsFile, text.String())
}

func (m *Member) writeFile(name, text string) error {
	if err := os.WriteFile(filepath.Join(m.dir, name), []byte(text), fileMode); err != nil {
		return fmt.Errorf("write %s of %s: %w", name, m.Name, err)
	}
	return nil
}

// seedList returns the advertised gossip addresses of the first member of each zone, as elements of a TOML array.
func (l *Lab) seedList() string {
	var seeds []string
	for i := range min(len(l.options.Zones), l.options.Members) {
		seeds = append(seeds, strconv.Quote(l.gossipAddr(i)))
	}
	return strings.Join(seeds, ", ")
}

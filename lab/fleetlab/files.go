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

// Names of the files of a member.
const (
	configFile    = "config.json"
	operatorsFile = "operators.toml"
	keyFile       = "fleet.key"
	logFile       = "log"
)

// Modes of the directories and files of members: their owner's alone.
const (
	dirMode  = 0o700
	fileMode = 0o600
)

// stallTime is for how long the loop of a server blocks on faults.KindStall.
const stallTime = 15 * time.Second

//go:embed config.json.tmpl
var configText string

var configTemplate = template.Must(template.New(configFile).Parse(configText))

// configValues are what the configurations of members differ by.
type configValues struct {
	Name, FrontAddr, AgentAddr, AnnounceAddr, StoreAddr, ConsoleAddr string

	Seed                 uint64
	Members, Cores       int
	CallQuota            float64 // calls in flight to the store
	WarmupMicros         int64
	CallsByClass         string
	DegradedValueByClass string
	Classes              string
}

// writeFiles writes the files that the member's process is started with.
func (m *Member) writeFiles() error {
	if err := os.MkdirAll(m.dir, dirMode); err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	var config strings.Builder
	if err := configTemplate.Execute(&config, m.configValues()); err != nil {
		return fmt.Errorf("configuration of %s: %w", m.Name, err)
	}
	if err := m.writeFile(configFile, config.String()); err != nil {
		return err
	}
	return m.WriteOperatorsFile(m.lab.key)
}

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

// classConfig returns the configuration of a class, in JSON.
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

// WriteOperatorsFile writes the operators' file and, unless the first key is empty, the file of the fleet's keys, of
// which the first one encrypts. The process reads them at its next start or SIGHUP.
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

// writeFile writes a file of the member.
func (m *Member) writeFile(name, text string) error {
	if err := os.WriteFile(filepath.Join(m.dir, name), []byte(text), fileMode); err != nil {
		return fmt.Errorf("write %s of %s: %w", name, m.Name, err)
	}
	return nil
}

// seedList returns the advertised addresses of one member in each zone, as elements of a TOML array.
func (l *Lab) seedList() string {
	var seeds []string
	for i := range min(len(l.options.Zones), l.options.Members) {
		seeds = append(seeds, strconv.Quote(l.gossipAddr(i)))
	}
	return strings.Join(seeds, ", ")
}

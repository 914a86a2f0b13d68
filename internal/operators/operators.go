// Package operators is the one place where the operators' TOML file is read, checked and given its defaults. It holds
// what the platform's configuration has no place for; without the file nothing of it exists.
package operators

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"falldeal/internal/fleet"

	"github.com/pelletier/go-toml/v2"
)

// Bounds, and defaults of keys that may be absent.
const (
	maxFileBytes         = 1 << 20 // bytes of the file
	maxKeys              = 8       // keys of a fleet in its key file
	maxSeeds             = 64
	minProbeInterval     = 100 * time.Millisecond
	maxProbeInterval     = 10 * time.Second
	defaultProbeInterval = 500 * time.Millisecond
	maxMembers           = 16384
	defaultSize          = 300
	minForgetAfter       = time.Minute
	maxForgetAfter       = 30 * 24 * time.Hour
	defaultForgetAfter   = 24 * time.Hour
	minLease             = 500 * time.Millisecond
	maxLease             = time.Minute
	defaultLease         = 3 * time.Second
	defaultReservedRatio = 0.5
	maxClockOffset       = 24 * time.Hour // that a drill sets the clock off by
	maxWedge             = time.Minute
	defaultTraceMB       = 16 // MB of a file of spans
	maxTraceMB           = 1024
)

// File is what operators set.
type File struct {
	Fleet          *Fleet          // nil: the file has no table [fleet]
	Overload       *Overload       // nil: the file has no table [overload], which needs [fleet]
	Trace          *Trace          // nil: the file has no table [trace], which needs [fleet]
	FaultInjection *FaultInjection // nil: the file has no table [drill], which needs [fleet]
}

// Trace is the table [trace]: spans of what changes in this instance's part of the fleet.
type Trace struct {
	File   string
	Sample float64 // share of the episodes that are written
	Bytes  int64   // of the file, at most
}

// trace is [trace] as it is written.
type trace struct {
	File   string   `toml:"file"`
	Sample *float64 `toml:"sample"`
	MB     *int     `toml:"max_mb"`
}

func (t *trace) parse(dir string) (*Trace, error) {
	if t == nil {
		return nil, nil
	}
	if t.File == "" {
		return nil, errors.New("file: missing")
	}
	x, mb := &Trace{File: resolvePath(dir, t.File), Sample: 1}, defaultTraceMB
	if t.Sample != nil {
		if x.Sample = *t.Sample; !(x.Sample >= 0 && x.Sample <= 1) {
			return nil, fmt.Errorf("sample: %v is not between 0 and 1", x.Sample)
		}
	}
	err := setInteger("max_mb", t.MB, 1, maxTraceMB, &mb)
	x.Bytes = int64(mb) << 20
	return x, err
}

// resolvePath is a path that a file in dir names.
func resolvePath(dir, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}

// FaultInjection is the table [drill]: what this process does to itself, for operators to see how the others take it.
type FaultInjection struct {
	Clock time.Duration // that its clock is set off by, from the start
	Wedge time.Duration // for which its loop stands still at a call to the console; 0: there is no such call
}

// drill is [drill] as it is written.
type drill struct {
	Clock *string `toml:"clock"`
	Wedge *string `toml:"wedge"`
}

// Overload is the table [overload].
type Overload struct {
	QuotaLeasing      bool          // shares of the store move between members
	Lease             time.Duration // for which they are lent
	ReservedRatio     float64       // part of the own share that is never lent
	Shedding          bool          // what the fleet has no room for is refused by all alike
	CoordinatedProbes bool          // a store that does not answer is tried by turns
}

// overload is [overload] as it is written.
type overload struct {
	Shares bool     `toml:"shares"`
	Lease  *string  `toml:"lease"`
	Keep   *float64 `toml:"keep"`
	Cutoff bool     `toml:"cutoff"`
	Probes bool     `toml:"probes"`
}

// Fleet is the table [fleet].
type Fleet struct {
	Listen        string   // where this instance hears others; IP and port, TCP and UDP
	Advertise     string   // where others reach it, if that is elsewhere
	Seeds         []string // where to look for others at first; its own address among them does no harm
	Region        string
	Zone          string
	Keys          [][]byte      // of the key file, newest first; none: words travel in clear
	Size          int           // members that are expected, for pacing
	Limits        fleet.Limits  // of the view
	ProbeInterval time.Duration // between two probes of others
}

// table is [fleet] as it is written.
type table struct {
	Listen     string   `toml:"listen"`
	Advertise  string   `toml:"advertise"`
	Seeds      []string `toml:"seeds"`
	Region     string   `toml:"region"`
	Zone       string   `toml:"zone"`
	KeyFile    string   `toml:"key_file"`
	Size       *int     `toml:"size"`
	MembersMax *int     `toml:"members_max"`
	Forget     *string  `toml:"forget_after"`
	Probe      *string  `toml:"probe_every"`
}

// Load reads the file at path, and the files that it names.
func Load(path string) (*File, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("operators' file: %w", err)
	}
	file, err := Parse(text, filepath.Dir(path))
	if err != nil {
		return nil, fmt.Errorf("operators' file %s: %w", path, err)
	}
	return file, nil
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: %d bytes, want at most %d", path, info.Size(), maxFileBytes)
	}
	return os.ReadFile(path)
}

// Parse reads the text of a file; an error names the key at fault. Files that it names are looked for in dir, unless
// their paths are absolute.
func Parse(text []byte, dir string) (*File, error) {
	var raw struct {
		Fleet    *table    `toml:"fleet"`
		Overload *overload `toml:"overload"`
		Trace    *trace    `toml:"trace"`
		Drill    *drill    `toml:"drill"`
	}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&raw); err != nil {
		return nil, decodeError(err)
	}
	if raw.Fleet == nil {
		for name, there := range map[string]bool{"overload": raw.Overload != nil, "trace": raw.Trace != nil, "drill": raw.Drill != nil} {
			if there {
				return nil, fmt.Errorf("%s: needs the table fleet", name)
			}
		}
		return &File{}, nil
	}
	fleet, err := raw.Fleet.parse(dir)
	if err != nil {
		return nil, fmt.Errorf("fleet.%w", err)
	}
	overload, err := raw.Overload.parse()
	if err != nil {
		return nil, fmt.Errorf("overload.%w", err)
	}
	faults, err := raw.Drill.parse()
	if err != nil {
		return nil, fmt.Errorf("drill.%w", err)
	}
	trace, err := raw.Trace.parse(dir)
	if err != nil {
		return nil, fmt.Errorf("trace.%w", err)
	}
	return &File{Fleet: fleet, Overload: overload, Trace: trace, FaultInjection: faults}, nil
}

func (t *drill) parse() (*FaultInjection, error) {
	if t == nil {
		return nil, nil
	}
	d := &FaultInjection{}
	if err := setDuration("clock", t.Clock, -maxClockOffset, maxClockOffset, &d.Clock); err != nil {
		return nil, err
	}
	return d, setDuration("wedge", t.Wedge, 0, maxWedge, &d.Wedge)
}

func (t *overload) parse() (*Overload, error) {
	if t == nil {
		return nil, nil
	}
	o := &Overload{QuotaLeasing: t.Shares, Shedding: t.Cutoff, CoordinatedProbes: t.Probes, Lease: defaultLease, ReservedRatio: defaultReservedRatio}
	if err := setDuration("lease", t.Lease, minLease, maxLease, &o.Lease); err != nil {
		return nil, err
	}
	if t.Keep != nil {
		if o.ReservedRatio = *t.Keep; !(o.ReservedRatio >= 0 && o.ReservedRatio <= 1) {
			return nil, fmt.Errorf("keep: %v is not between 0 and 1", o.ReservedRatio)
		}
	}
	return o, nil
}

// decodeError has an error of the library name the key.
func decodeError(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		unknown := strict.Errors[0]
		row, _ := unknown.Position()
		return fmt.Errorf("%s: no such key (line %d)", strings.Join(unknown.Key(), "."), row)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		if key := strings.Join(decode.Key(), "."); key != "" {
			return fmt.Errorf("%s: %w (line %d)", key, decode, row)
		}
		return fmt.Errorf("line %d: %w", row, decode)
	}
	return err
}

func (t *table) parse(dir string) (*Fleet, error) {
	f := &Fleet{Listen: t.Listen, Advertise: t.Advertise, Seeds: t.Seeds, Region: t.Region, Zone: t.Zone, Size: defaultSize,
		ProbeInterval: defaultProbeInterval, Limits: fleet.Limits{Members: maxMembers / 4, ForgetAfter: defaultForgetAfter}}
	if f.Advertise == "" {
		f.Advertise = f.Listen
	}
	addrs := []struct{ key, addr string }{{"listen", f.Listen}, {"advertise", f.Advertise}}
	for i, s := range f.Seeds {
		addrs = append(addrs, struct{ key, addr string }{"seeds[" + strconv.Itoa(i) + "]", s})
	}
	for _, a := range addrs {
		if err := checkAddress(a.addr); err != nil {
			return nil, fmt.Errorf("%s: %w", a.key, err)
		}
	}
	if host, _, _ := net.SplitHostPort(f.Advertise); net.ParseIP(host).IsUnspecified() {
		return nil, fmt.Errorf("advertise: %s is an address that nobody can call", f.Advertise)
	}
	if len(f.Seeds) > maxSeeds {
		return nil, fmt.Errorf("seeds: %d, want at most %d", len(f.Seeds), maxSeeds)
	}
	for _, w := range []struct{ key, word string }{{"region", f.Region}, {"zone", f.Zone}} {
		if err := checkPlaceName(w.word); err != nil {
			return nil, fmt.Errorf("%s: %w", w.key, err)
		}
	}
	if err := setInteger("size", t.Size, 1, maxMembers, &f.Size); err != nil {
		return nil, err
	}
	if err := setInteger("members_max", t.MembersMax, 2, maxMembers, &f.Limits.Members); err != nil {
		return nil, err
	}
	if f.Size > f.Limits.Members {
		return nil, fmt.Errorf("size: %d, and members_max is %d", f.Size, f.Limits.Members)
	}
	if err := setDuration("forget_after", t.Forget, minForgetAfter, maxForgetAfter, &f.Limits.ForgetAfter); err != nil {
		return nil, err
	}
	if err := setDuration("probe_every", t.Probe, minProbeInterval, maxProbeInterval, &f.ProbeInterval); err != nil {
		return nil, err
	}
	if t.KeyFile != "" {
		text, err := readFile(resolvePath(dir, t.KeyFile))
		if err == nil {
			f.Keys, err = parseKeys(text)
		}
		if err != nil {
			return nil, fmt.Errorf("key_file: %w", err)
		}
	}
	return f, nil
}

// checkAddress accepts a numeric address with a port: there is no name service to ask.
func checkAddress(addr string) error {
	if addr == "" {
		return errors.New("missing")
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address", host)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("%q is not a port", port)
	}
	return nil
}

// checkPlaceName accepts the name of a region or zone.
func checkPlaceName(name string) error {
	switch {
	case name == "":
		return errors.New("missing")
	case len(name) > fleet.MaxText:
		return fmt.Errorf("%d bytes, want at most %d", len(name), fleet.MaxText)
	}
	for _, c := range name {
		if c <= ' ' || c > '~' {
			return fmt.Errorf("%q has a character that is no printable ASCII", name)
		}
	}
	return nil
}

func setInteger(key string, given *int, lowest, highest int, target *int) error {
	if given == nil {
		return nil
	}
	if *given < lowest || *given > highest {
		return fmt.Errorf("%s: %d is not between %d and %d", key, *given, lowest, highest)
	}
	*target = *given
	return nil
}

func setDuration(key string, given *string, lowest, highest time.Duration, target *time.Duration) error {
	if given == nil {
		return nil
	}
	duration, err := time.ParseDuration(*given)
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	if duration < lowest || duration > highest {
		return fmt.Errorf("%s: %v is not between %v and %v", key, duration, lowest, highest)
	}
	*target = duration
	return nil
}

// parseKeys reads a key file: a key of 16, 24 or 32 bytes a line, in hex digits; blank lines and such that begin with # are
// skipped. The first one encrypts; all of them are understood.
func parseKeys(text []byte) (all [][]byte, err error) {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		key, err := hex.DecodeString(line)
		if err != nil || !slices.Contains([]int{16, 24, 32}, len(key)) {
			return nil, fmt.Errorf("line %d: want 32, 48 or 64 hex digits", n) // without the line: it is a secret
		}
		all = append(all, key)
	}
	switch {
	case lines.Err() != nil:
		return nil, lines.Err()
	case len(all) == 0:
		return nil, errors.New("no key in it")
	case len(all) > maxKeys:
		return nil, fmt.Errorf("%d keys, want at most %d", len(all), maxKeys)
	}
	return all, nil
}

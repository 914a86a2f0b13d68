package operators

import (
	"fmt"
	"net"
	"time"

	"falldeal/internal/configcheck"
	"falldeal/internal/fleet"
)

// Bounds and defaults of the keys in table [fleet].
const (
	maxSeeds             = 64
	maxMembers           = 16384          // of size and members_max
	defaultMembers       = maxMembers / 4 // of members_max
	defaultSize          = 300
	minForgetAfter       = time.Minute
	maxForgetAfter       = 30 * 24 * time.Hour
	defaultForgetAfter   = 24 * time.Hour
	minProbeInterval     = 100 * time.Millisecond
	maxProbeInterval     = 10 * time.Second
	defaultProbeInterval = 500 * time.Millisecond
)

// Fleet is the table [fleet]: the membership of this instance in a fleet.
type Fleet struct {
	Listen        string        // IP address and port at which this instance listens for other members, TCP and UDP
	Advertise     string        // IP address and port at which other members reach it; default: Listen
	Seeds         []string      // addresses that are dialed while no member at them is reached; may include that of this instance
	Region        string        // location of this instance
	Zone          string        // location within the region
	Keys          [][]byte      // encryption keys, newest first; none: messages are not encrypted
	Size          int           // expected number of members; the interval of full exchanges grows with it
	Limits        fleet.Limits  // bounds of the membership view
	ProbeInterval time.Duration // between two probes of the failure detection
}

// table is the table [fleet] as it is decoded. The decoder's errors contain the names of the type and its fields, which
// therefore must not change.
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

// parse returns the checked table. It reads the key file, whose path is relative to dir.
func (t *table) parse(dir string) (*Fleet, error) {
	parsed := &Fleet{
		Listen:        t.Listen,
		Advertise:     t.Advertise,
		Seeds:         t.Seeds,
		Region:        t.Region,
		Zone:          t.Zone,
		Size:          defaultSize,
		Limits:        fleet.Limits{Members: defaultMembers, ForgetAfter: defaultForgetAfter},
		ProbeInterval: defaultProbeInterval,
	}
	if parsed.Advertise == "" {
		parsed.Advertise = parsed.Listen
	}
	if err := parsed.checkAddresses(); err != nil {
		return nil, err
	}
	if err := parsed.checkPlace(); err != nil {
		return nil, err
	}
	if err := t.setSizes(parsed); err != nil {
		return nil, err
	}
	if err := t.setDurations(parsed); err != nil {
		return nil, err
	}
	var err error
	parsed.Keys, err = readKeyFile(dir, t.KeyFile)
	if err != nil {
		return nil, &configcheck.KeyError{Key: "fleet.key_file", Err: err}
	}
	return parsed, nil
}

// checkAddresses checks Listen, Advertise and Seeds.
func (f *Fleet) checkAddresses() error {
	type keyAddress struct{ key, address string }
	addresses := []keyAddress{{"fleet.listen", f.Listen}, {"fleet.advertise", f.Advertise}}
	for i, seed := range f.Seeds {
		addresses = append(addresses, keyAddress{fmt.Sprintf("fleet.seeds[%d]", i), seed})
	}
	for _, item := range addresses {
		if err := configcheck.Address(item.address); err != nil {
			return &configcheck.KeyError{Key: item.key, Err: err}
		}
	}
	if host, _, _ := net.SplitHostPort(f.Advertise); net.ParseIP(host).IsUnspecified() {
		return configcheck.Errorf("fleet.advertise", "%s: unspecified IP address, other members cannot connect to it", f.Advertise)
	}
	if len(f.Seeds) > maxSeeds {
		return configcheck.Errorf("fleet.seeds", "%d seeds, want at most %d", len(f.Seeds), maxSeeds)
	}
	return nil
}

// checkPlace checks Region and Zone.
func (f *Fleet) checkPlace() error {
	if err := checkPlaceName(f.Region); err != nil {
		return &configcheck.KeyError{Key: "fleet.region", Err: err}
	}
	if err := checkPlaceName(f.Zone); err != nil {
		return &configcheck.KeyError{Key: "fleet.zone", Err: err}
	}
	return nil
}

// setSizes sets Size and Limits.Members.
func (t *table) setSizes(parsed *Fleet) error {
	if err := setBounded("fleet.size", t.Size, 1, maxMembers, &parsed.Size); err != nil {
		return err
	}
	if err := setBounded("fleet.members_max", t.MembersMax, 2, maxMembers, &parsed.Limits.Members); err != nil {
		return err
	}
	if parsed.Size > parsed.Limits.Members {
		return configcheck.Errorf("fleet.size", "%d exceeds members_max, which is %d", parsed.Size, parsed.Limits.Members)
	}
	return nil
}

// setDurations sets Limits.ForgetAfter and ProbeInterval.
func (t *table) setDurations(parsed *Fleet) error {
	err := setDuration("fleet.forget_after", t.Forget, minForgetAfter, maxForgetAfter, &parsed.Limits.ForgetAfter)
	if err != nil {
		return err
	}
	return setDuration("fleet.probe_every", t.Probe, minProbeInterval, maxProbeInterval, &parsed.ProbeInterval)
}

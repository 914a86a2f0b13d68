package operators

import "time"

// Bounds and defaults of the keys in table [overload].
const (
	minLease             = 500 * time.Millisecond
	maxLease             = time.Minute
	defaultLease         = 3 * time.Second
	defaultReservedRatio = 0.5
)

// Overload is the table [overload]: the overload control that the members of a fleet coordinate.
type Overload struct {
	QuotaLeasing      bool          // members lease unused call quota of the store to each other
	Lease             time.Duration // duration of a lease
	ReservedRatio     float64       // ratio of this instance's quota that it never leases out, 0 to 1
	Shedding          bool          // all members shed load by the same threshold
	CoordinatedProbes bool          // members take turns in probing an unresponsive store
}

// overload is the table [overload] as it is decoded. The decoder's errors contain the names of the type and its fields, which
// therefore must not change.
type overload struct {
	Shares bool     `toml:"shares"`
	Lease  *string  `toml:"lease"`
	Keep   *float64 `toml:"keep"`
	Cutoff bool     `toml:"cutoff"`
	Probes bool     `toml:"probes"`
}

// parse returns the checked table, or nil if it is absent.
func (t *overload) parse() (*Overload, error) {
	if t == nil {
		return nil, nil
	}
	parsed := &Overload{
		QuotaLeasing:      t.Shares,
		Lease:             defaultLease,
		ReservedRatio:     defaultReservedRatio,
		Shedding:          t.Cutoff,
		CoordinatedProbes: t.Probes,
	}
	if err := setDuration("overload.lease", t.Lease, minLease, maxLease, &parsed.Lease); err != nil {
		return nil, err
	}
	if err := setBounded("overload.keep", t.Keep, 0, 1, &parsed.ReservedRatio); err != nil {
		return nil, err
	}
	return parsed, nil
}

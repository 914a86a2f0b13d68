package operators

import "time"

// Bounds and defaults of the table [overload].
const (
	minLease             = 500 * time.Millisecond
	maxLease             = time.Minute
	defaultLease         = 3 * time.Second
	defaultReservedRatio = 0.5
)

// Overload is the table [overload]: what the members of a fleet do together under load.
type Overload struct {
	QuotaLeasing      bool          // members lease unused quota of the store to others
	Lease             time.Duration // for which quota is leased out
	ReservedRatio     float64       // part of the own quota that is never leased out, 0 to 1
	Shedding          bool          // all members shed by the same threshold
	CoordinatedProbes bool          // members take turns in probing a store that does not answer
}

// overload is the table [overload] as it is decoded. Errors of the decoder print its name and fields.
type overload struct {
	Shares bool     `toml:"shares"`
	Lease  *string  `toml:"lease"`
	Keep   *float64 `toml:"keep"`
	Cutoff bool     `toml:"cutoff"`
	Probes bool     `toml:"probes"`
}

// parse checks the table. It returns nil where it is absent.
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

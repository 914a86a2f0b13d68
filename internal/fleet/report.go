package fleet

import "time"

// Report is a snapshot as the console returns it. Scripts read it: fields may be added, but keys are never renamed. Times
// are in milliseconds. Ages are lower bounds.
type Report struct {
	Self              string           `json:"self"`
	Position          string           `json:"position"`
	LastReceivedMs    int64            `json:"heard_ms"`  // since a record of another member was last received; -1: alone
	PublishIntervalMs int64            `json:"period_ms"` // PublishInterval of the fleet
	FreshMs           int64            `json:"fresh_ms"`  // MaxFreshAge of the fleet; older records are overdue
	Members           []MemberReport   `json:"members"`
	Zones             []ZoneReport     `json:"zones"`
	Total             ZoneReport       `json:"total"`
	Fresh             AggregateReport  `json:"fresh"`
	Counters          map[string]int64 `json:"counters,omitempty"`
}

// MemberReport is one member in a report.
type MemberReport struct {
	Name               string  `json:"name"`
	Process            string  `json:"process"`
	Incarnation        uint64  `json:"incarnation"`
	Region             string  `json:"region"`
	Zone               string  `json:"zone"`
	Condition          string  `json:"condition"` // its reported state if it is alive, else its liveness
	ReportedState      string  `json:"told"`      // the state in its last record
	AgeMs              int64   `json:"age_ms"`    // of that record
	SinceMs            int64   `json:"since_ms"`  // since the failure detection's result for its process last changed
	Version            string  `json:"version"`
	Config             string  `json:"config"`
	Addr               string  `json:"addr"`
	Cores              float64 `json:"cores"`
	Utilization        float64 `json:"busy"` // ratio of the cores in use, 0 to 1; -1: unknown
	InFlight           int     `json:"in_hand"`
	CallQuota          float64 `json:"share"`
	UnservedRatio      float64 `json:"shed"`
	MeanCalls          float64 `json:"calls"`           // recent mean of concurrent calls at the store
	ServiceRate        float64 `json:"pace,omitempty"`  // seconds of work completed per second
	Attempts           float64 `json:"tries,omitempty"` // requests read per second
	RetryRatio         float64 `json:"again,omitempty"` // ratio of the attempts counted at it that are retries
	Threshold          float64 `json:"cut,omitempty"`   // priority below which it rejects requests; 0: it sheds nothing
	StoreState         uint8   `json:"store,omitempty"` // of its store: 0 healthy, 1 unresponsive, 2 probing, 3 recovering
	ProbeRound         uint64  `json:"round,omitempty"` // latest round of probes that it knows of
	PublishesAggregate bool    `json:"sums,omitempty"`  // it publishes the aggregate of its zone
	Self               bool    `json:"self,omitempty"`
}

// ZoneReport counts the members of a zone, or of the fleet. Known does not include those that left.
type ZoneReport struct {
	Region            string `json:"region,omitempty"`
	Zone              string `json:"zone,omitempty"`
	Known             int    `json:"known"`
	Alive             int    `json:"alive"`
	Suspect           int    `json:"suspect"`
	Stalled           int    `json:"wedged"`
	Unreachable       int    `json:"cut_off"`
	Failed            int    `json:"dead"`
	Left              int    `json:"left"`
	Unconfirmed       int    `json:"heard_of"`
	MostlyUnreachable bool   `json:"dark"`
}

// AggregateReport is an Aggregate in a report.
type AggregateReport struct {
	Members    int     `json:"members"`
	Stale      int     `json:"stale"` // members that are alive, but whose records are too old for the sum
	Cores      float64 `json:"cores"`
	CoresInUse float64 `json:"busy"`
	InFlight   int     `json:"in_hand"`
	OldestMs   int64   `json:"oldest_ms"`

	// Over those of the members that report a service rate.
	ServiceRate  float64 `json:"pace,omitempty"`      // seconds of work that they complete per second
	Attempts     float64 `json:"tries,omitempty"`     // requests that they read per second
	RetryRatio   float64 `json:"again,omitempty"`     // retries per first attempt; MemberReport.RetryRatio is per attempt
	MinThreshold float64 `json:"cut_least,omitempty"` // least of their shedding thresholds; 0: at least one sheds nothing
	MaxThreshold float64 `json:"cut_most,omitempty"`  // greatest of their shedding thresholds

	// Over all members in the sum.
	CallQuota float64 `json:"share,omitempty"` // mean concurrent calls that they may have at stores
	MeanCalls float64 `json:"calls,omitempty"` // mean concurrent calls that they have at stores
}

// LastReceivedMs returns the time since a record of another member was last received, in milliseconds. It returns -1 if
// the observer is alone.
func (s *Snapshot) LastReceivedMs(now time.Duration) int64 {
	if s.Position == Alone {
		return -1
	}
	return (now - s.LastReceived).Milliseconds()
}

// Report returns the snapshot as a report, with ages at now.
func (s *Snapshot) Report(now time.Duration) Report {
	size := len(s.Members)
	aggregate := s.Aggregate(now, MaxFreshAge(size))
	report := Report{
		Self:              s.Self,
		Position:          s.Position.ReportName(),
		LastReceivedMs:    s.LastReceivedMs(now),
		PublishIntervalMs: PublishInterval(size).Milliseconds(),
		FreshMs:           MaxFreshAge(size).Milliseconds(),
		Members:           make([]MemberReport, 0, size),
		Total:             s.Total.report(),
		Fresh:             aggregate.report(),
	}
	for i := range s.Members {
		report.Members = append(report.Members, s.Members[i].report(now))
	}
	for i := range s.Zones {
		report.Zones = append(report.Zones, s.Zones[i].report())
	}
	return report
}

func (m *Member) report(now time.Duration) MemberReport {
	return MemberReport{
		Name:               m.Name,
		Process:            m.Process(),
		Incarnation:        m.Incarnation,
		Region:             m.Region,
		Zone:               m.Zone,
		Condition:          m.reportedCondition(),
		ReportedState:      m.State.reportName(),
		AgeMs:              m.Age(now).Milliseconds(),
		SinceMs:            max(now-m.Since, 0).Milliseconds(),
		Version:            m.Version,
		Config:             formatDigest(m.Config),
		Addr:               m.Addr,
		Cores:              m.Load.Capacity,
		Utilization:        m.Load.Utilization,
		InFlight:           m.Load.InFlight,
		CallQuota:          m.Load.CallQuota,
		UnservedRatio:      m.Load.UnservedRatio,
		MeanCalls:          m.Load.MeanCalls,
		ServiceRate:        m.Load.ServiceRate,
		Attempts:           m.Load.Attempts,
		RetryRatio:         m.Load.RetryRatio,
		Threshold:          m.Load.Threshold,
		StoreState:         m.Load.StoreState,
		ProbeRound:         m.Load.ProbeRound,
		PublishesAggregate: m.Load.Aggregate != "",
		Self:               m.Self,
	}
}

func (z *Zone) report() ZoneReport {
	return ZoneReport{
		Region:            z.Region,
		Zone:              z.Zone,
		Known:             z.Known,
		Alive:             z.Count[Alive],
		Suspect:           z.Count[Suspect],
		Stalled:           z.Count[Stalled],
		Unreachable:       z.Count[Unreachable],
		Failed:            z.Count[Failed],
		Left:              z.Count[Left],
		Unconfirmed:       z.Count[Unconfirmed],
		MostlyUnreachable: z.MostlyUnreachable(),
	}
}

func (a *Aggregate) report() AggregateReport {
	return AggregateReport{
		Members:      a.Members,
		Stale:        a.Stale,
		Cores:        a.Capacity,
		CoresInUse:   a.CoresInUse,
		InFlight:     a.InFlight,
		OldestMs:     a.OldestAge.Milliseconds(),
		ServiceRate:  a.ServiceRate,
		Attempts:     a.Attempts,
		RetryRatio:   a.retriesPerFirstAttempt(),
		MinThreshold: a.MinThreshold,
		MaxThreshold: a.MaxThreshold,
		CallQuota:    a.CallQuota,
		MeanCalls:    a.MeanCalls,
	}
}

// retriesPerFirstAttempt returns 0 if all attempts are retries.
func (a *Aggregate) retriesPerFirstAttempt() float64 {
	if a.Attempts <= a.Retries {
		return 0
	}
	return a.Retries / (a.Attempts - a.Retries)
}

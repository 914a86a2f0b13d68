package fleet

import "time"

// Report is a snapshot as the console gives it, and as scripts read it. Times are in milliseconds; an age is at least
// that. Fields are added, never renamed.
type Report struct {
	Self           string           `json:"self"`
	Position       string           `json:"position"`
	LastReceivedMs int64            `json:"heard_ms"` // since the last word of another member; -1 = none
	PeriodMs       int64            `json:"period_ms"`
	FreshMs        int64            `json:"fresh_ms"` // words older than that are overdue
	Members        []MemberReport   `json:"members"`
	Zones          []ZoneReport     `json:"zones"`
	Total          ZoneReport       `json:"total"`
	Fresh          AggregateReport  `json:"fresh"`
	Counters       map[string]int64 `json:"counters,omitempty"`
}

// MemberReport is a line of it.
type MemberReport struct {
	Name               string  `json:"name"`
	Process            string  `json:"process"`
	Incarnation        uint64  `json:"incarnation"`
	Region             string  `json:"region"`
	Zone               string  `json:"zone"`
	Condition          string  `json:"condition"` // what it says where it is reached, else what is made of it here
	ReportedState      string  `json:"told"`      // what it said last
	AgeMs              int64   `json:"age_ms"`    // of that
	SinceMs            int64   `json:"since_ms"`  // it has been reached, or not, for that long
	Version            string  `json:"version"`
	Config             string  `json:"config"`
	Addr               string  `json:"addr"`
	Cores              float64 `json:"cores"`
	Busy               float64 `json:"busy"` // -1 = unknown
	InFlight           int     `json:"in_hand"`
	CallQuota          float64 `json:"share"`
	ShedRatio          float64 `json:"shed"`
	MeanCalls          float64 `json:"calls"`           // mean calls in hand at the store, of late
	ServiceRate        float64 `json:"pace,omitempty"`  // seconds of work done in a second
	Attempts           float64 `json:"tries,omitempty"` // read a second
	RetryRatio         float64 `json:"again,omitempty"` // part of them that are repeats, as far as counted there
	Threshold          float64 `json:"cut,omitempty"`   // what stands lower is refused while cores are short
	StoreState         uint8   `json:"store,omitempty"` // how it stands to its store: 0 fine, 1 trouble, 2 trying for others, 3 back
	ProbeRound         uint64  `json:"round,omitempty"` // the turn to try, as far as it knows
	PublishesAggregate bool    `json:"sums,omitempty"`  // it tells the sum of its zone
	Self               bool    `json:"self,omitempty"`
}

// ZoneReport counts the members of a zone.
type ZoneReport struct {
	Region      string `json:"region,omitempty"`
	Zone        string `json:"zone,omitempty"`
	Known       int    `json:"known"`
	Alive       int    `json:"alive"`
	Suspect     int    `json:"suspect"`
	Wedged      int    `json:"wedged"`
	Silent      int    `json:"cut_off"`
	Dead        int    `json:"dead"`
	Left        int    `json:"left"`
	Unmet       int    `json:"heard_of"`
	Unreachable bool   `json:"dark"`
}

// AggregateReport is what fresh words of serving members add up to.
type AggregateReport struct {
	Members  int     `json:"members"`
	Stale    int     `json:"stale"` // alive, and their words too old to count
	Cores    float64 `json:"cores"`
	Busy     float64 `json:"busy"` // cores in use
	InFlight int     `json:"in_hand"`
	OldestMs int64   `json:"oldest_ms"`

	ServiceRate  float64 `json:"pace,omitempty"`      // seconds of work that can be done in a second, as told by those that cut
	Attempts     float64 `json:"tries,omitempty"`     // read a second
	RetryRatio   float64 `json:"again,omitempty"`     // repeats for each first try
	MinThreshold float64 `json:"cut_least,omitempty"` // where members cut, least and most; 0 = nowhere
	MaxThreshold float64 `json:"cut_most,omitempty"`
	CallQuota    float64 `json:"share,omitempty"` // calls that all may have in hand at stores in the mean, and have
	MeanCalls    float64 `json:"calls,omitempty"`
}

func (z *Zone) report() ZoneReport {
	return ZoneReport{z.Region, z.Zone, z.Known, z.Count[Alive], z.Count[Suspect], z.Count[Wedged], z.Count[Silent], z.Count[Dead],
		z.Count[Left], z.Count[Unmet], z.Unreachable()}
}

// LastReceivedMs is how long ago a word of another member came last, in milliseconds; -1 = never.
func (s *Snapshot) LastReceivedMs(now time.Duration) int64 {
	if s.Position == Alone {
		return -1
	}
	return (now - s.LastReceived).Milliseconds()
}

// Report puts the snapshot into words, as of now.
func (s *Snapshot) Report(now time.Duration) Report {
	n := len(s.Members)
	report := Report{Self: s.Self, Position: s.Position.String(), LastReceivedMs: s.LastReceivedMs(now), PeriodMs: Period(n).Milliseconds(),
		FreshMs: Fresh(n).Milliseconds(), Total: s.Total.report(), Members: make([]MemberReport, 0, n)}
	for i := range s.Members {
		member := &s.Members[i]
		report.Members = append(report.Members, MemberReport{Name: member.Name, Process: member.Process(), Incarnation: member.Incarnation, Region: member.Region,
			Zone: member.Zone, Condition: member.Condition(), ReportedState: member.State.String(), AgeMs: member.Age(now).Milliseconds(),
			SinceMs: max(now-member.Since, 0).Milliseconds(), Version: member.Version, Config: formatDigest(member.Config), Addr: member.Addr, Cores: member.Load.Capacity,
			Busy: member.Load.Busy, InFlight: member.Load.InFlight, CallQuota: member.Load.CallQuota, ShedRatio: member.Load.ShedRatio, MeanCalls: member.Load.MeanCalls,
			ServiceRate: member.Load.ServiceRate, Attempts: member.Load.Attempts, RetryRatio: member.Load.RetryRatio, Threshold: member.Load.Threshold, StoreState: member.Load.StoreState,
			ProbeRound: member.Load.ProbeRound, PublishesAggregate: member.Load.Aggregate != "", Self: member.Self})
	}
	for i := range s.Zones {
		report.Zones = append(report.Zones, s.Zones[i].report())
	}
	total := s.Aggregate(now, Fresh(n))
	retryRatio := 0.0
	if total.Attempts > total.Retries {
		retryRatio = total.Retries / (total.Attempts - total.Retries)
	}
	report.Fresh = AggregateReport{total.Members, total.Stale, total.Capacity, total.Busy, total.InFlight, total.Oldest.Milliseconds(), total.ServiceRate, total.Attempts, retryRatio, total.MinThreshold, total.MaxThreshold, total.CallQuota, total.MeanCalls}
	return report
}

package fleet

import "time"

// Aggregate is the sum of the fresh records of members that serve.
type Aggregate struct {
	Members, Stale int           // members that count, and members that are alive with records too old to count
	Capacity, Busy float64       // cores, and cores in use
	InFlight       int           // requests without a response
	Oldest         time.Duration // age of the oldest record that counts

	// Of the members that report a service rate: seconds of work that they complete in a second, the requests that
	// they read in a second, how many of these are retries, and the extremes of their shedding thresholds.
	ServiceRate, Attempts, Retries float64
	MinThreshold, MaxThreshold     float64

	CallQuota, MeanCalls float64 // mean concurrent calls at stores that all may have, and do have
}

// Aggregate adds up the records of serving members that are no older than fresh.
func (s *Snapshot) Aggregate(now, fresh time.Duration) (total Aggregate) {
	for i := range s.Members {
		member := &s.Members[i]
		switch {
		case member.Serves(now, fresh):
			total.add(member, now)
		case member.Liveness == Alive && member.Age(now) > fresh:
			total.Stale++
		}
	}
	return total
}

func (a *Aggregate) add(member *Member, now time.Duration) {
	load := &member.Load
	a.Members++
	a.addServiceRate(load)
	a.CallQuota += load.CallQuota
	a.MeanCalls += load.MeanCalls
	a.Capacity += load.Capacity
	a.Busy += load.Capacity * max(load.Busy, 0)
	a.InFlight += load.InFlight
	a.Oldest = max(a.Oldest, member.Age(now))
}

func (a *Aggregate) addServiceRate(load *Load) {
	if load.ServiceRate <= 0 {
		return
	}
	if a.ServiceRate == 0 {
		a.MinThreshold = load.Threshold
	}
	a.ServiceRate += load.ServiceRate
	a.Attempts += load.Attempts
	a.Retries += load.Attempts * load.RetryRatio
	a.MinThreshold = min(a.MinThreshold, load.Threshold)
	a.MaxThreshold = max(a.MaxThreshold, load.Threshold)
}

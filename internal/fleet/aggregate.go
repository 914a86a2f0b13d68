package fleet

import "time"

// Aggregate is the sum over the members that serve according to a recent enough record.
type Aggregate struct {
	Members    int           // members in the sum
	Stale      int           // members that are alive, but whose records are too old for the sum
	Capacity   float64       // cores
	CoresInUse float64       // a member that does not know its utilization counts as using none
	InFlight   int           // requests that are not answered yet
	OldestAge  time.Duration // age of the oldest record in the sum

	// Over those of the members that report a service rate.
	ServiceRate  float64 // seconds of work that they complete per second
	Attempts     float64 // requests that they read per second
	Retries      float64 // retries among Attempts, per second
	MinThreshold float64 // least of their shedding thresholds
	MaxThreshold float64 // greatest of their shedding thresholds

	// Over all members in the sum.
	CallQuota float64 // mean concurrent calls that they may have at stores; a member without limit counts as 0
	MeanCalls float64 // mean concurrent calls that they have at stores
}

// Aggregate returns the sum over the members that serve according to a record no older than maxAge.
func (s *Snapshot) Aggregate(now, maxAge time.Duration) (total Aggregate) {
	for i := range s.Members {
		member := &s.Members[i]
		switch {
		case member.Serves(now, maxAge):
			total.add(member, now)
		case member.Liveness == Alive && member.Age(now) > maxAge:
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
	a.CoresInUse += load.Capacity * max(load.Utilization, 0)
	a.InFlight += load.InFlight
	a.OldestAge = max(a.OldestAge, member.Age(now))
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

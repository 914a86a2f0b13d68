package schedule

import (
	"time"

	"falldeal/internal/fleet"
	"falldeal/lab/memnet"
)

// FaultKind is the kind of a Fault.
type FaultKind string

// Kinds of faults. A link carries traffic from one member to another, in one direction. A member that a fault has killed starts
// again when all faults have ended, or by a FaultRestart.
const (
	FaultPartition       FaultKind = "cut"     // interrupts both links between Target and Peer
	FaultOneWayPartition FaultKind = "oneway"  // interrupts the link from Target to Peer, or all links from Target
	FaultZonePartition   FaultKind = "zone"    // interrupts the links between a zone and the others, or only the outgoing ones
	FaultLoss            FaultKind = "loss"    // loses datagrams on all links
	FaultDelay           FaultKind = "delay"   // delays datagrams on all links
	FaultDuplication     FaultKind = "double"  // duplicates datagrams on all links
	FaultKill            FaultKind = "kill"    // kills Target and keeps it down until the end of the fault
	FaultIsolation       FaultKind = "stop"    // interrupts all links of Target, as if its process were stopped by a signal
	FaultStall           FaultKind = "wedge"   // stalls the main loop of Target, and kills Target at the end of the fault
	FaultRestart         FaultKind = "restart" // kills Target and starts it again at once
)

// faultKinds are the kinds that DrawFaults draws from. Another order would change the faults of a seed.
var faultKinds = []FaultKind{
	FaultPartition, FaultOneWayPartition, FaultZonePartition, FaultLoss, FaultDelay, FaultDuplication, FaultKill,
	FaultIsolation, FaultStall, FaultRestart,
}

const (
	maxFaults          = 4                      // drawn for one schedule
	maxStartMs         = 20_000                 // exclusive bound of the start of a fault, in ms
	minDurationMs      = 500                    // shortest fault, in ms
	durationRangeMs    = 20_000                 // width of the range of durations, in ms
	faultCheckInterval = 100 * time.Millisecond // interval at which InjectFaults starts and ends faults
)

// Fault is a fault that is injected at Start and ends after Duration.
type Fault struct {
	Kind            FaultKind
	Target, Peer    int           // indices of members; FaultZonePartition affects the zone of Target
	Start, Duration time.Duration // Start is relative to the call of InjectFaults
	Intensity       float64       // in [0, 1): strength of faults of datagrams; selects the links of one-way and zone partitions
}

func (f *Fault) end() time.Duration { return f.Start + f.Duration }

// active reports whether the fault is active at a time.
func (f *Fault) active(now time.Duration) bool { return now >= f.Start && now < f.end() }

// DrawFaults draws one to four faults, which may overlap. All of them end within about 40 s.
func (c *Cluster) DrawFaults() (faults []Fault) {
	for range 1 + c.Rand.IntN(maxFaults) {
		faults = append(faults, Fault{
			Kind:      faultKinds[c.Rand.IntN(len(faultKinds))],
			Target:    c.Rand.IntN(len(c.Members)),
			Peer:      c.Rand.IntN(len(c.Members)),
			Start:     time.Duration(c.Rand.IntN(maxStartMs)) * time.Millisecond,
			Duration:  time.Duration(minDurationMs+c.Rand.IntN(durationRangeMs)) * time.Millisecond,
			Intensity: c.Rand.Float64(),
		})
	}
	return faults
}

// InjectFaults injects faults. When all of them have ended, it starts the members that do not run and returns. Meanwhile it
// calls observe about ten times per second, except during a FaultStall, which blocks it.
func (c *Cluster) InjectFaults(faults []Fault, observe func()) {
	start := time.Now()
	done := make([]bool, len(faults))
	for ended := false; !ended; {
		ended = c.advanceFaults(faults, done, time.Since(start))
		c.Network.SetRule(func(from, to string) memnet.Fault {
			return c.linkFault(faults, time.Since(start), from, to)
		})
		observe()
		time.Sleep(faultCheckInterval)
	}
	c.Network.SetRule(func(string, string) memnet.Fault { return memnet.Fault{Delay: linkDelay} })
	c.startStoppedMembers()
}

// advanceFaults applies the faults that have begun to their targets. It marks faults that need no further call as done, and
// reports whether each fault had ended, or was marked as done, before the call.
func (c *Cluster) advanceFaults(faults []Fault, done []bool, now time.Duration) (ended bool) {
	ended = true
	for i := range faults {
		fault := &faults[i]
		switch {
		case done[i]:
		case now < fault.Start:
			ended = false
		case now >= fault.end():
			c.applyToMember(fault, now)
			done[i] = true
		default:
			ended = false
			done[i] = c.applyToMember(fault, now)
		}
	}
	return ended
}

// applyToMember applies a fault that has begun to its target, and reports whether the fault needs no further call. Faults of
// links are left to linkFault. For a FaultStall it blocks for the duration; faults of other members are applied late meanwhile.
func (c *Cluster) applyToMember(fault *Fault, now time.Duration) (done bool) {
	target := c.Members[fault.Target]
	switch fault.Kind {
	case FaultKill:
		if fault.active(now) {
			target.Kill() // at each call, as another fault may have restarted it
		}
		return false
	case FaultRestart:
		target.Kill()
		c.Start(fault.Target, fleet.Serving)
		return true
	case FaultStall:
		if target.Fleet != nil {
			target.Stall()
			time.Sleep(fault.Duration)
			target.Kill()
		}
		return true
	default: // a fault of links
		return false
	}
}

// startStoppedMembers starts the members that do not run.
func (c *Cluster) startStoppedMembers() {
	for i, member := range c.Members {
		if member.Fleet == nil {
			c.Start(i, fleet.Serving)
		}
	}
}

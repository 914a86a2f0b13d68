package schedule

import (
	"time"

	"falldeal/internal/fleet"
	"falldeal/lab/memnet"
)

// FaultKind names what a Fault does.
type FaultKind string

// Kinds of faults. A link is one direction between two members.
const (
	FaultPartition       FaultKind = "cut"     // both links between Target and Peer
	FaultOneWayPartition FaultKind = "oneway"  // the link from Target to Peer, or all links from Target
	FaultZonePartition   FaultKind = "zone"    // the zone of Target from the others, or only its outgoing links
	FaultLoss            FaultKind = "loss"    // of datagrams, on all links
	FaultDelay           FaultKind = "delay"   // of datagrams, on all links
	FaultDuplication     FaultKind = "double"  // of datagrams, on all links
	FaultKill            FaultKind = "kill"    // Target, until the end of the fault
	FaultIsolation       FaultKind = "stop"    // all links of Target, as if its process were stopped
	FaultStall           FaultKind = "wedge"   // Target's main loop, which is killed at the end of the fault
	FaultRestart         FaultKind = "restart" // Target, at once
)

// faultKinds are those that are drawn. A seed depends on their order.
var faultKinds = []FaultKind{
	FaultPartition, FaultOneWayPartition, FaultZonePartition, FaultLoss, FaultDelay, FaultDuplication, FaultKill,
	FaultIsolation, FaultStall, FaultRestart,
}

const (
	maxFaults          = 4
	maxStartMs         = 20_000
	minDurationMs      = 500
	durationRangeMs    = 20_000
	faultCheckInterval = 100 * time.Millisecond
)

// Fault is something that goes wrong from Start on, for Duration.
type Fault struct {
	Kind            FaultKind
	Target, Peer    int // members; of FaultZonePartition, Target modulo the number of zones is a zone
	Start, Duration time.Duration
	Intensity       float64 // from 0 to 1; its meaning depends on the kind
}

func (f *Fault) end() time.Duration { return f.Start + f.Duration }

// active reports whether the fault is in force at a time.
func (f *Fault) active(now time.Duration) bool { return now >= f.Start && now < f.end() }

// DrawFaults draws one to four faults within about 40 s, which may overlap.
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

// InjectFaults injects faults, and returns once all of them have ended and all members run. It calls watch ten times a second.
func (c *Cluster) InjectFaults(faults []Fault, watch func()) {
	start := time.Now()
	done := make([]bool, len(faults))
	for ended := false; !ended; {
		ended = c.advanceFaults(faults, done, time.Since(start))
		c.Network.SetRule(func(from, to string) memnet.Fault {
			return c.linkFault(faults, time.Since(start), from, to)
		})
		watch()
		time.Sleep(faultCheckInterval)
	}
	c.Network.SetRule(func(string, string) memnet.Fault { return memnet.Fault{Delay: linkDelay} })
	c.startStoppedMembers()
}

// advanceFaults applies the faults of members that are in force, marks those that need no more attention as done, and
// reports whether all faults had ended before.
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

// applyToMember applies a fault that has begun to its target, and reports whether that was the last time needed.
func (c *Cluster) applyToMember(fault *Fault, now time.Duration) (done bool) {
	target := c.Members[fault.Target]
	switch fault.Kind {
	case FaultKill:
		if fault.active(now) {
			target.Kill() // again and again: another fault may restart it
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
	default: // of links
		return false
	}
}

func (c *Cluster) startStoppedMembers() {
	for i, member := range c.Members {
		if member.Fleet == nil {
			c.Start(i, fleet.Serving)
		}
	}
}

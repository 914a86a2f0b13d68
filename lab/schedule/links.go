package schedule

import (
	"time"

	"falldeal/lab/memnet"
)

// Links without a fault, and what faults of the greatest intensity do to them.
const (
	linkDelay      = time.Millisecond
	linkJitter     = time.Millisecond
	maxLossRatio   = 0.4
	maxAddedDelay  = 300 * time.Millisecond
	maxAddedJitter = 200 * time.Millisecond
)

// Intensities below which a fault is of the wider kind.
const (
	allLinksIntensity = 0.5 // FaultOneWayPartition: to all others, not only to the peer
	bothWaysIntensity = 0.7 // FaultZonePartition: both ways, not only outgoing
)

// linkFault sums up what the faults in force do to the link between two addresses.
func (c *Cluster) linkFault(faults []Fault, now time.Duration, from, to string) memnet.Fault {
	link := memnet.Fault{Delay: linkDelay, Jitter: linkJitter}
	for i := range faults {
		if faults[i].active(now) {
			c.addToLink(&link, &faults[i], from, to)
		}
	}
	return link
}

func (c *Cluster) addToLink(link *memnet.Fault, fault *Fault, from, to string) {
	switch fault.Kind {
	case FaultLoss:
		link.LossRatio = max(link.LossRatio, maxLossRatio*fault.Intensity)
	case FaultDelay:
		link.Delay += time.Duration(fault.Intensity * float64(maxAddedDelay))
		link.Jitter += time.Duration(fault.Intensity * float64(maxAddedJitter))
	case FaultDuplication:
		link.DuplicateRatio = max(link.DuplicateRatio, fault.Intensity)
	default: // partitions, and faults of members
		link.Partition = link.Partition || c.partitions(fault, from, to)
	}
}

// partitions reports whether a fault interrupts the link between two addresses.
func (c *Cluster) partitions(fault *Fault, from, to string) bool {
	target, peer := c.Members[fault.Target].Addr, c.Members[fault.Peer].Addr
	switch fault.Kind {
	case FaultPartition:
		return connects(target, peer, from, to) || connects(peer, target, from, to)
	case FaultOneWayPartition:
		affectsReceiver := fault.Intensity < allLinksIntensity || to == peer
		return from == target && affectsReceiver
	case FaultZonePartition:
		return partitionsZone(fault, from, to)
	case FaultIsolation:
		return from == target || to == target
	default: // no partition
		return false
	}
}

// connects reports whether the link from sender to receiver is the one between two addresses.
func connects(sender, receiver, from, to string) bool { return from == sender && to == receiver }

func partitionsZone(fault *Fault, from, to string) bool {
	zone := fault.Target % len(Zones)
	outgoing, incoming := zoneOf(from) == zone, zoneOf(to) == zone
	affectsDirection := fault.Intensity < bothWaysIntensity || outgoing
	return outgoing != incoming && affectsDirection
}

package schedule

import (
	"time"

	"falldeal/lab/memnet"
)

// Delays of links without a fault, and the effects of faults of intensity 1.
const (
	linkDelay      = time.Millisecond
	linkJitter     = time.Millisecond
	maxLossRatio   = 0.4
	maxAddedDelay  = 300 * time.Millisecond
	maxAddedJitter = 200 * time.Millisecond
)

// Intensities below which a fault interrupts more links.
const (
	allLinksIntensity = 0.5 // FaultOneWayPartition: all links from Target, not only that to Peer
	bothWaysIntensity = 0.7 // FaultZonePartition: incoming and outgoing links, not only outgoing ones
)

// linkFault returns the combined effect of the active faults on the link between two addresses.
func (c *Cluster) linkFault(faults []Fault, now time.Duration, from, to string) memnet.Fault {
	link := memnet.Fault{Delay: linkDelay, Jitter: linkJitter}
	for i := range faults {
		if faults[i].active(now) {
			c.addToLink(&link, &faults[i], from, to)
		}
	}
	return link
}

// addToLink adds the effect of one fault to a link.
func (c *Cluster) addToLink(link *memnet.Fault, fault *Fault, from, to string) {
	switch fault.Kind {
	case FaultLoss:
		link.LossRatio = max(link.LossRatio, maxLossRatio*fault.Intensity)
	case FaultDelay:
		link.Delay += time.Duration(fault.Intensity * float64(maxAddedDelay))
		link.Jitter += time.Duration(fault.Intensity * float64(maxAddedJitter))
	case FaultDuplication:
		link.DuplicateRatio = max(link.DuplicateRatio, fault.Intensity)
	default: // partitions, and faults of members, which have no effect here
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
	default: // not a partition
		return false
	}
}

// connects reports whether the link from one address to another is the one from sender to receiver.
func connects(sender, receiver, from, to string) bool { return from == sender && to == receiver }

// partitionsZone reports whether a FaultZonePartition interrupts the link between two addresses.
func partitionsZone(fault *Fault, from, to string) bool {
	zone := fault.Target % len(Zones)
	outgoing, incoming := zoneOf(from) == zone, zoneOf(to) == zone
	affectsDirection := fault.Intensity < bothWaysIntensity || outgoing
	return outgoing != incoming && affectsDirection
}

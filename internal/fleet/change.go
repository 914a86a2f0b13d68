package fleet

import "time"

// Change is one thing that differs between two snapshots, for the log.
type Change struct {
	Member   string // or zone; empty for the fleet as a whole
	Kind     string // joined, restarted, forgotten, condition, version, config, zone, position
	From, To string
	Age      time.Duration // of the word that told it
}

// Changes returns what differs from old to s, in the order of names. How much members have to do is not among it.
func (s *Snapshot) Changes(previous *Snapshot) (changes []Change) {
	i := 0
	for j := range s.Members {
		member := &s.Members[j]
		for ; i < len(previous.Members) && previous.Members[i].Name < member.Name; i++ {
			changes = append(changes, Change{Member: previous.Members[i].Name, Kind: "forgotten", From: previous.Members[i].Condition()})
		}
		add := func(what, from, to string) {
			if from != to {
				changes = append(changes, Change{member.Name, what, from, to, member.Age(s.At)})
			}
		}
		if i == len(previous.Members) || previous.Members[i].Name > member.Name {
			add("joined", "", member.Condition())
			continue
		}
		before := &previous.Members[i]
		i++
		if before.Run != member.Run {
			add("restarted", Process(before.Name, before.Run), Process(member.Name, member.Run))
		}
		add("condition", before.Condition(), member.Condition())
		if before.Seq > 0 {
			add("version", before.Version, member.Version)
			if before.Config != member.Config {
				add("config", formatDigest(before.Config), formatDigest(member.Config))
			}
		}
	}
	for ; i < len(previous.Members); i++ {
		changes = append(changes, Change{Member: previous.Members[i].Name, Kind: "forgotten", From: previous.Members[i].Condition()})
	}
	for k := range s.Zones {
		zone := &s.Zones[k]
		if before := previous.zoneNamed(zone.Region, zone.Zone); before != nil && before.Unreachable() != zone.Unreachable() {
			changes = append(changes, Change{zone.Zone, "zone", describeReachability(before.Unreachable()), describeReachability(zone.Unreachable()), 0})
		}
	}
	if previous.Position != s.Position {
		changes = append(changes, Change{"", "position", previous.Position.String(), s.Position.String(), 0})
	}
	return changes
}

func (s *Snapshot) zoneNamed(region, zone string) *Zone {
	for i := range s.Zones {
		if z := &s.Zones[i]; z.Region == region && z.Zone == zone {
			return z
		}
	}
	return nil
}

func describeReachability(unreachable bool) string {
	if unreachable {
		return "half or more silent"
	}
	return "reached"
}

func formatDigest(v uint64) string {
	const digits = "0123456789abcdef"
	b := make([]byte, 16)
	for i := range b {
		b[i] = digits[v>>(60-4*i)&15]
	}
	return string(b)
}

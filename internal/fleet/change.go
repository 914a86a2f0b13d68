package fleet

import "time"

// Change is one thing that differs between two snapshots, for the log.
type Change struct {
	Member   string // or zone; empty for the fleet as a whole
	What     string // joined, restarted, forgotten, condition, version, config, zone, position
	From, To string
	Age      time.Duration // of the word that told it
}

// Changes returns what differs from old to s, in the order of names. How much members have to do is not among it.
func (s *Snapshot) Changes(old *Snapshot) (all []Change) {
	i := 0
	for j := range s.Members {
		m := &s.Members[j]
		for ; i < len(old.Members) && old.Members[i].Name < m.Name; i++ {
			all = append(all, Change{Member: old.Members[i].Name, What: "forgotten", From: old.Members[i].Condition()})
		}
		add := func(what, from, to string) {
			if from != to {
				all = append(all, Change{m.Name, what, from, to, m.Age(s.At)})
			}
		}
		if i == len(old.Members) || old.Members[i].Name > m.Name {
			add("joined", "", m.Condition())
			continue
		}
		o := &old.Members[i]
		i++
		if o.Run != m.Run {
			add("restarted", Process(o.Name, o.Run), Process(m.Name, m.Run))
		}
		add("condition", o.Condition(), m.Condition())
		if o.Seq > 0 {
			add("version", o.Version, m.Version)
			if o.Config != m.Config {
				add("config", hex(o.Config), hex(m.Config))
			}
		}
	}
	for ; i < len(old.Members); i++ {
		all = append(all, Change{Member: old.Members[i].Name, What: "forgotten", From: old.Members[i].Condition()})
	}
	for k := range s.Zones {
		z := &s.Zones[k]
		if was := old.find(z.Region, z.Zone); was != nil && was.Unreachable() != z.Unreachable() {
			all = append(all, Change{z.Zone, "zone", light(was.Unreachable()), light(z.Unreachable()), 0})
		}
	}
	if old.Position != s.Position {
		all = append(all, Change{"", "position", old.Position.String(), s.Position.String(), 0})
	}
	return all
}

func (s *Snapshot) find(region, zone string) *Zone {
	for i := range s.Zones {
		if z := &s.Zones[i]; z.Region == region && z.Zone == zone {
			return z
		}
	}
	return nil
}

func light(dark bool) string {
	if dark {
		return "half or more silent"
	}
	return "reached"
}

func hex(v uint64) string {
	const digits = "0123456789abcdef"
	b := make([]byte, 16)
	for i := range b {
		b[i] = digits[v>>(60-4*i)&15]
	}
	return string(b)
}

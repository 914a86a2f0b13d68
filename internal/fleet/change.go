package fleet

import (
	"fmt"
	"time"
)

// ChangeKind says what has changed. Its text is the message of the log line.
type ChangeKind string

// The kinds of changes.
const (
	MemberJoined     ChangeKind = "member joined"
	MemberRestarted  ChangeKind = "member restarted"
	MemberRemoved    ChangeKind = "member removed from view"
	ConditionChanged ChangeKind = "member condition changed"
	VersionChanged   ChangeKind = "member version changed"
	ConfigChanged    ChangeKind = "member configuration changed"
	ZoneChanged      ChangeKind = "zone reachability changed"
	PositionChanged  ChangeKind = "connection to fleet changed"
)

// Change is one difference between two snapshots, for the log.
type Change struct {
	Member   string // name of the member; empty for ZoneChanged and PositionChanged
	Zone     string // name of the zone; empty unless ZoneChanged
	Kind     ChangeKind
	From, To string        // the value before and after; empty: none
	Age      time.Duration // age of the member's record in the later snapshot; 0 for MemberRemoved and if Member is empty
}

// Changes returns the differences from the previous snapshot to s: first those of members in the order of their names,
// then those of zones and of the observer's position. It ignores load.
func (s *Snapshot) Changes(previous *Snapshot) (changes []Change) {
	i := 0
	for j := range s.Members {
		member := &s.Members[j]
		for ; i < len(previous.Members) && previous.Members[i].Name < member.Name; i++ {
			changes = append(changes, previous.Members[i].removed())
		}
		if i == len(previous.Members) || previous.Members[i].Name > member.Name {
			changes = append(changes, member.change(MemberJoined, "", member.Condition(), s.At))
			continue
		}
		changes = member.appendChanges(changes, &previous.Members[i], s.At)
		i++
	}
	for ; i < len(previous.Members); i++ {
		changes = append(changes, previous.Members[i].removed())
	}
	changes = s.appendZoneChanges(changes, previous)
	if previous.Position != s.Position {
		changes = append(changes, Change{
			Kind: PositionChanged, From: previous.Position.String(), To: s.Position.String(),
		})
	}
	return changes
}

func (m *Member) removed() Change {
	return Change{Member: m.Name, Kind: MemberRemoved, From: m.Condition()}
}

// appendChanges appends the differences from the same member in an earlier snapshot.
func (m *Member) appendChanges(changes []Change, previous *Member, now time.Duration) []Change {
	if previous.Run != m.Run {
		changes = append(changes, m.change(MemberRestarted, previous.Process(), m.Process(), now))
	}
	if from, to := previous.Condition(), m.Condition(); from != to {
		changes = append(changes, m.change(ConditionChanged, from, to, now))
	}
	if previous.Seq == 0 {
		return changes // the previous snapshot had no record to compare with
	}
	if previous.Version != m.Version {
		changes = append(changes, m.change(VersionChanged, previous.Version, m.Version, now))
	}
	if previous.Config != m.Config {
		from, to := formatDigest(previous.Config), formatDigest(m.Config)
		changes = append(changes, m.change(ConfigChanged, from, to, now))
	}
	return changes
}

func (m *Member) change(kind ChangeKind, from, to string, now time.Duration) Change {
	return Change{Member: m.Name, Kind: kind, From: from, To: to, Age: m.Age(now)}
}

// appendZoneChanges appends the zones that became, or are no longer, mostly unreachable. It skips a zone that the previous
// snapshot lacks.
func (s *Snapshot) appendZoneChanges(changes []Change, previous *Snapshot) []Change {
	for i := range s.Zones {
		zone := &s.Zones[i]
		before := previous.zoneNamed(zone.Region, zone.Zone)
		if before == nil || before.MostlyUnreachable() == zone.MostlyUnreachable() {
			continue
		}
		changes = append(changes, Change{
			Zone: zone.Zone, Kind: ZoneChanged,
			From: describeReachability(before.MostlyUnreachable()), To: describeReachability(zone.MostlyUnreachable()),
		})
	}
	return changes
}

func describeReachability(unreachable bool) string {
	if unreachable {
		return "mostly unreachable"
	}
	return "reached"
}

// formatDigest returns the digest of a configuration as 16 hex digits.
func formatDigest(digest uint64) string { return fmt.Sprintf("%016x", digest) }

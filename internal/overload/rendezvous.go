package overload

import (
	"slices"

	"falldeal/internal/fleet"
)

// Members agree on who has a task by rendezvous hashing: each computes a hash of the task and every candidate, and the
// highest has it. No message is needed, and when a candidate is lost only its own tasks move.

// mix is the finalizer of splitmix64 (Steele, Lea, Flood 2014): every bit of the result depends on all bits of hash.
func mix(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// processOf returns the process that a member runs as.
func processOf(member *fleet.Member) ProcessID { return ProcessID{member.Name, member.Run} }

// inZone reports whether a member is in a zone.
func inZone(member *fleet.Member, region, zone string) bool {
	return member.Zone == zone && member.Region == region
}

// highestHashes is the processes with the highest hashes of those that were offered.
type highestHashes struct {
	limit  int             // processes that are kept
	ranked []hashedProcess // highest hash first; of equal ones the first that was offered
}

type hashedProcess struct {
	hash    uint64
	process ProcessID
}

// offer takes a process among the highest if its hash is one of them.
func (h *highestHashes) offer(hash uint64, process ProcessID) {
	if len(h.ranked) == h.limit && hash <= h.ranked[h.limit-1].hash {
		return
	}
	position := slices.IndexFunc(h.ranked, func(other hashedProcess) bool { return hash > other.hash })
	if position < 0 {
		position = len(h.ranked)
	}
	h.ranked = slices.Insert(h.ranked, position, hashedProcess{hash, process})
	h.ranked = h.ranked[:min(len(h.ranked), h.limit)]
}

func (h *highestHashes) processes() (processes []ProcessID) {
	for _, ranked := range h.ranked {
		processes = append(processes, ranked.process)
	}
	return processes
}

// countingMember returns the index in the view of the member that counts the attempts of a request; -1 if there is none.
func countingMember(fingerprint uint64, view *fleet.Snapshot) int {
	bestHash, index := uint64(0), -1
	for i := range view.Members {
		member := &view.Members[i]
		if !member.AcceptsRequests() {
			continue
		}
		if hash := mix(fingerprint ^ member.Run); index < 0 || hash > bestHash {
			bestHash, index = hash, i
		}
	}
	return index
}

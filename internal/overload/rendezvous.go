package overload

import (
	"slices"

	"falldeal/internal/fleet"
)

// Members assign tasks by rendezvous hashing. Each member hashes the task with every candidate, and the candidate with
// the highest hash gets the task. Members with the same view agree without a message. When a candidate is lost, only
// the tasks of that candidate move.

// mix is the finalizer of splitmix64 (Steele, Lea and Flood, 2014). Every bit of the result depends on all bits of hash.
func mix(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// processOf returns the current process of a member.
func processOf(member *fleet.Member) ProcessID { return ProcessID{member.Name, member.Run} }

// inZone reports whether a member is in the given zone of the given region.
func inZone(member *fleet.Member, region, zone string) bool {
	return member.Zone == zone && member.Region == region
}

// highestHashes keeps the processes with the highest hashes among those offered.
type highestHashes struct {
	limit  int             // number of processes to keep
	ranked []hashedProcess // highest hash first; among equal hashes, first offered first
}

type hashedProcess struct {
	hash    uint64
	process ProcessID
}

// offer adds a process if its hash is among the highest.
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

// processes returns the kept processes, highest hash first.
func (h *highestHashes) processes() (processes []ProcessID) {
	for _, ranked := range h.ranked {
		processes = append(processes, ranked.process)
	}
	return processes
}

// countingMember returns the index in the view of the member that counts the attempts of the request with this
// fingerprint. It returns -1 if no member accepts requests.
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

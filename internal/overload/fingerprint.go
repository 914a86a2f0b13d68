package overload

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies the request that an attempt belongs to. It hashes the properties that all attempts of a request
// share and that two requests rarely share. All members compute the same fingerprint for a request, so the hash must not
// change. The cost is the cost hint in seconds.
func Fingerprint(class, key, idempotencyKey string, client int, rank, cost float64) uint64 {
	var numbers [24]byte
	binary.LittleEndian.PutUint64(numbers[:], uint64(client))
	binary.LittleEndian.PutUint64(numbers[8:], math.Float64bits(rank))
	binary.LittleEndian.PutUint64(numbers[16:], math.Float64bits(cost))
	hash := xxhash.Sum64(numbers[:])
	for _, text := range [...]string{class, key, idempotencyKey} {
		hash = hash*0x9e3779b97f4a7c15 + xxhash.Sum64String(text)
	}
	return mix(hash)
}

package overload

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint returns a hash of what is the same in all attempts of a request and seldom the same in two requests. All
// members compute the same fingerprint. Cost is the cost hint in seconds.
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

// Package overload decides what the members of a fleet do about overload together:
//
//   - leasing.go and quota_manager.go lease unused call quota of a store between members;
//   - demand.go, aggregation.go, collector.go and shedding.go find the priority below which a full fleet sheds load;
//   - retries.go and attempt_age.go recognise retries, which no client marks;
//   - probes.go coordinates the probes of a store that does not respond.
//
// The package is pure: it has no goroutines, sockets or clocks. Times are passed in as readings of this process's
// monotonic clock; messages and limits are returned. Each type belongs to one goroutine, and without recent updates from
// other members each does what a server on its own would do.
//
// Members of different versions run side by side. Whatever they have to agree on (messages, fingerprints, priorities,
// who collects, counts or probes) is pinned by the golden files under testdata.
package overload

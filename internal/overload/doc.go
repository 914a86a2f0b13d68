// Package overload decides what the members of a fleet do about overload together:
//
//   - QuotaLedger and QuotaManager lease unused call quota of a store between members;
//   - Shedder finds the priority below which a full fleet sheds load, from sums by zone that a Collector makes of what
//     members publish;
//   - RetryCounter and AgeEstimator recognise retries, which no client marks;
//   - ProbeCoordinator coordinates the probes of a store that does not respond.
//
// The package is pure: it has no goroutines, sockets or clocks. Times are passed in as readings of this process's
// monotonic clock; messages and limits are returned. Each type belongs to one goroutine, and without recent updates from
// other members each does what a server on its own would do.
//
// Members of different versions run side by side. Whatever they have to agree on (messages, fingerprints, priorities,
// who collects, counts or probes) is pinned by the golden files under testdata.
package overload

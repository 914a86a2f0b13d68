// Package overload makes the overload decisions that the members of a fleet take together:
//
//   - QuotaLedger and QuotaManager lease unused quota for store calls between members.
//   - Shedder computes the priority below which a full fleet sheds load. In a large fleet it uses the load of whole
//     zones, which Collector sums up.
//   - RetryCounter and AgeEstimator recognise retries, which no client marks.
//   - ProbeCoordinator coordinates the probes of a store that does not respond.
//
// The package has no goroutines, sockets or clocks. The caller passes in times, read from the monotonic clock of this
// process. It sends the messages and applies the limits that are returned. Each value belongs to one goroutine. A type
// that has no recent loads of other members decides as a server without a fleet would.
//
// Members of different versions run side by side. The golden files under testdata pin what they have to agree on: the
// messages, fingerprints and priorities, and the choice of the members that collect, count and probe.
package overload

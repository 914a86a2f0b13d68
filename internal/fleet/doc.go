// Package fleet is the membership view that one image server holds of its fleet, and the rules by which the records
// of members are merged into it. The package is pure: it has no socket, file, clock, goroutine or global state. Times
// are passed in as durations on the observer's monotonic clock, and effects are returned as values.
//
// Two kinds of knowledge are kept apart. A Record is what a member published of itself. A record may be stale. Reach and Evidence are what this observer found out by itself; they are never passed on
// to other members as facts. A caller that finds the view empty, old or partitioned acts as it would without a fleet.
package fleet

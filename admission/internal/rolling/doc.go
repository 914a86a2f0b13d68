// Package rolling implements statistics over the recent past: sums over a time window, sums and averages that
// decay, and a line fitted to recent points. It reads no clock: each method that depends on time takes it as
// an argument, which must not go backwards.
package rolling

// Package rolling has statistics of the recent past: sums over a window of time, sums and averages that decay, and a
// line fitted to recent points. None of them reads a clock: the time is an argument and must not go back.
package rolling

// Package wire translates between the lines of the simulator's pipe and the types of package admission.
//
// Input comes in batches. A batch starts with "SYNC" and the time of the simulator's clock in microseconds, holds a
// line for each message and ends with "OVER_TO_YOU". Fields are separated by single spaces; "-" stands for a field
// that is not set. Output is a line for each action; the host ends each reply itself.
package wire

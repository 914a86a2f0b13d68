// Package wire encodes and decodes the text protocol between the simulator and cmd/simhost, in terms of package
// admission.
//
// Input consists of batches. A batch starts with a line "SYNC" and the time of the simulator's clock in microseconds,
// has one line per message, and ends with a line "OVER_TO_YOU". Fields are separated by single spaces; "-" stands for
// a field that is not set. Output has one line per action; cmd/simhost adds the line that
// ends each reply.
package wire

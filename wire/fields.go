package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"falldeal/admission"
)

// unset is the text of a field that has no value.
const unset = "-"

// unknownGauge is the value of a gauge that was not reported.
const unknownGauge = -1

// Names of the gauges in the protocol.
const (
	gaugeCPUUtilization    = "core_use"
	gaugeCPUDemand         = "on_cores"
	gaugeMemoryUtilization = "heap_share"
	gaugeConnections       = "links"
)

// outcomes maps the names of outcomes in the protocol to the outcomes of runs and calls.
var outcomes = map[string]admission.Outcome{
	"OK":                 admission.OutcomeOK,
	"INTERNAL":           admission.OutcomeFailed,
	"RESOURCE_EXHAUSTED": admission.OutcomeRejected,
	"DEADLINE_EXCEEDED":  admission.OutcomeTimedOut,
	"UNAVAILABLE":        admission.OutcomeUnreachable,
	"ABORTED":            admission.OutcomeAborted,
	"CANCELLED":          admission.OutcomeCancelled,
	"TOO_LATE":           admission.OutcomeNotStarted,
}

// fieldReader reads the fields of a line one after the other. It keeps the first error, which finish returns.
type fieldReader struct {
	rest      string // the fields that were not read yet
	exhausted bool   // a field was requested after the last one
	err       error  // the first error
}

// next returns the text of the next field, or "" after the last one.
func (f *fieldReader) next() string {
	if f.rest == "" {
		f.exhausted = true
		return ""
	}
	text, rest, _ := strings.Cut(f.rest, " ")
	f.rest = rest
	return text
}

// remainder returns the text of all remaining fields.
func (f *fieldReader) remainder() string {
	text := f.rest
	f.rest = ""
	return text
}

// fail records a FieldError, unless there is an error already.
func (f *fieldReader) fail(name, got, want string) {
	if f.err == nil {
		f.err = &FieldError{Field: name, Want: want, Got: got}
	}
}

// finish returns the first error. Remaining fields are an error.
func (f *fieldReader) finish() error {
	if f.err == nil && f.rest != "" {
		f.err = fmt.Errorf("more fields than expected: %q", f.rest)
	}
	return f.err
}

// integer reads a whole number. The simulator writes some numbers as signed and some as unsigned 64-bit integers; both
// are read into the same 64 bits.
func (f *fieldReader) integer(name string) int64 {
	text := f.next()
	if text == unset {
		return 0
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		if unsigned, unsignedErr := strconv.ParseUint(text, 10, 64); unsignedErr == nil {
			return int64(unsigned)
		}
		f.fail(name, text, "a whole number")
	}
	return value
}

func (f *fieldReader) id(name string) admission.RequestID {
	return admission.RequestID(f.integer(name))
}

// duration reads a whole number of microseconds.
func (f *fieldReader) duration(name string) time.Duration {
	return time.Duration(f.integer(name)) * time.Microsecond
}

func (f *fieldReader) float(name string) float64 {
	text := f.next()
	if text == unset {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		f.fail(name, text, "a number")
		return 0
	}
	return value
}

func (f *fieldReader) flag(name string) bool {
	switch text := f.next(); text {
	case "1":
		return true
	case "0", unset:
	default:
		f.fail(name, text, "1 or 0")
	}
	return false
}

func (f *fieldReader) outcome(name string) admission.Outcome {
	text := f.next()
	outcome, ok := outcomes[text]
	if !ok {
		f.fail(name, text, "an outcome")
	}
	return outcome
}

// gauges reads name:value pairs that are separated by commas. Unknown names are ignored.
func (f *fieldReader) gauges(name string) admission.Gauges {
	gauges := admission.Gauges{
		CPUUtilization: unknownGauge, CPUDemand: unknownGauge, MemoryUtilization: unknownGauge, Connections: unknownGauge,
	}
	list := f.next()
	if f.exhausted {
		f.fail(name, list, "a list of gauges")
	}
	for pair := range strings.SplitSeq(list, ",") {
		if pair == unset || pair == "" {
			continue
		}
		if !setGauge(&gauges, pair) {
			f.fail(name, pair, "name:value")
			return gauges
		}
	}
	return gauges
}

// setGauge sets the gauge of a name:value pair. It returns false if pair is not of that form.
func setGauge(gauges *admission.Gauges, pair string) bool {
	name, number, found := strings.Cut(pair, ":")
	value, err := strconv.ParseFloat(number, 64)
	if !found || err != nil || math.IsNaN(value) {
		return false
	}
	switch name {
	case gaugeCPUUtilization:
		gauges.CPUUtilization = value
	case gaugeCPUDemand:
		gauges.CPUDemand = value
	case gaugeMemoryUtilization:
		gauges.MemoryUtilization = value
	case gaugeConnections:
		gauges.Connections = value
	}
	return true
}

package main

import (
	"fmt"
	"io"
	"time"

	"falldeal/lab/fleetlab"
	"falldeal/lab/history"
)

const maxPrintedViolations = 20

// viewChangeGap ends a series of changes of members' views that are taken for one.
const viewChangeGap = 10 * time.Second

// rules are those that every history is checked against.
var rules = history.Rules{Slack: 200 * time.Millisecond, IdempotencyWindow: fleetlab.IdempotencyWindow}

// report prints faults, views and requests of a history. Violations of the rules are an error.
func report(out io.Writer, events []history.Event) error {
	fmt.Fprintln(out)
	printFaults(out, events)
	printViewChanges(out, events)
	fmt.Fprintln(out)
	if err := history.PrintSummary(out, events); err != nil {
		return err
	}
	if violations := printViolations(out, events, maxPrintedViolations); violations > 0 {
		return violationsError(violations)
	}
	fmt.Fprintf(out, "\nno rule broken in %d events: one final answer each, in time; no order run twice; "+
		"nobody called dead who lives\n", len(events))
	return nil
}

// violationsError reports how many times rules were violated.
type violationsError int

func (n violationsError) Error() string { return fmt.Sprintf("%d rules broken", int(n)) }

// printViolations checks the rules, prints the first violations and returns how many there are.
func printViolations(out io.Writer, events []history.Event, maxPrinted int) int {
	violations := history.Check(events, rules)
	for _, violation := range violations[:min(len(violations), maxPrinted)] {
		fmt.Fprintln(out, "broken:", violation)
	}
	return len(violations)
}

// printFaults prints when faults began and ended, and processes that failed.
func printFaults(out io.Writer, events []history.Event) {
	for i := range events {
		event := &events[i]
		switch {
		case event.Kind == history.FaultChanged && event.Count == 1:
			fmt.Fprintf(out, "%7.1fs  begins: %s\n", event.At.Seconds(), event.Detail)
		case event.Kind == history.FaultChanged:
			fmt.Fprintf(out, "%7.1fs  ends:   %s\n", event.At.Seconds(), event.Detail)
		case event.Kind == history.ProcessChanged && history.ProcessState(event.Detail) == history.ProcessFailed:
			fmt.Fprintf(out, "%7.1fs  %s ended by itself; its log says why\n", event.At.Seconds(), event.Server)
		}
	}
}

// viewChange is a series of members that come to see one member in the same condition.
type viewChange struct {
	change      string // "MEMBER is CONDITION"
	first, last time.Duration
	observers   int
}

// viewChanges returns the changes to conditions that are not part of a start, by their beginnings. Events must be in order.
func viewChanges(events []history.Event) []*viewChange {
	latest := map[string]*viewChange{} // by change
	var all []*viewChange
	for i := range events {
		event := &events[i]
		if event.Kind != history.ViewChanged || isUsualCondition(history.Condition(event.Detail)) {
			continue
		}
		change := event.Member + " is " + event.Detail
		series := latest[change]
		if series == nil || event.At-series.last > viewChangeGap {
			series = &viewChange{change: change, first: event.At}
			latest[change] = series
			all = append(all, series)
		}
		series.last = event.At
		series.observers++
	}
	return all
}

// isUsualCondition reports whether a member is in that condition as it starts and serves.
func isUsualCondition(condition history.Condition) bool {
	switch condition {
	case history.ConditionStarting, history.ConditionWarming, history.ConditionServing:
		return true
	default:
		return false
	}
}

// printViewChanges prints when members first and last saw each change of another.
func printViewChanges(out io.Writer, events []history.Event) {
	for _, series := range viewChanges(events) {
		fmt.Fprintf(out, "%7.1fs  %s, say %d others, the last at %.1fs\n",
			series.first.Seconds(), series.change, series.observers, series.last.Seconds())
	}
}

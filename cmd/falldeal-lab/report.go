package main

import (
	"fmt"
	"io"
	"time"

	"falldeal/internal/fleet"
	"falldeal/lab/fleetlab"
	"falldeal/lab/history"
)

// maxPrintedViolations is the maximum number of violations that report prints.
const maxPrintedViolations = 20

// viewChangeGap is the time without a further change after which the next change of views starts a new series.
const viewChangeGap = 10 * time.Second

// rules are the rules that every history is checked against.
var rules = history.Rules{Slack: 200 * time.Millisecond, IdempotencyWindow: fleetlab.IdempotencyWindow}

// report prints the faults, the view changes and the requests of a history. It returns an error if rules are
// violated.
func report(out io.Writer, events []history.Event) error {
	fmt.Fprintln(out)
	printFaults(out, events)
	printViewChanges(out, events)
	fmt.Fprintln(out)
	if err := history.PrintSummary(out, events); err != nil {
		return fmt.Errorf("print summary: %w", err)
	}
	if violations := printViolations(out, events, maxPrintedViolations); violations > 0 {
		return violationsError(violations)
	}
	fmt.Fprintf(out, "\nno violations in %d events: every attempt had one final answer in time; "+
		"no request with an idempotency key ran twice; no live member was declared failed\n", len(events))
	return nil
}

// violationsError reports the number of rule violations.
type violationsError int

func (n violationsError) Error() string { return fmt.Sprintf("rule violations: %d", int(n)) }

// printViolations checks the rules, prints the first violations and returns the number of all.
func printViolations(out io.Writer, events []history.Event, maxPrinted int) int {
	violations := history.Check(events, rules)
	for _, violation := range violations[:min(len(violations), maxPrinted)] {
		fmt.Fprintln(out, "violation:", violation)
	}
	return len(violations)
}

// printFaults prints when faults started and ended, and which processes exited with an error.
func printFaults(out io.Writer, events []history.Event) {
	for i := range events {
		event := &events[i]
		switch {
		case event.Kind == history.FaultChanged && event.Count == 1:
			fmt.Fprintf(out, "%7.1fs  fault started: %s\n", event.At.Seconds(), event.Detail)
		case event.Kind == history.FaultChanged:
			fmt.Fprintf(out, "%7.1fs  fault ended: %s\n", event.At.Seconds(), event.Detail)
		case event.Kind == history.ProcessChanged && event.ProcessState() == history.ProcessFailed:
			fmt.Fprintf(out, "%7.1fs  member %s exited with an error; see its log\n", event.At.Seconds(), event.Server)
		}
	}
}

// viewChange is a series of changes in which members come to report the same condition for one member.
type viewChange struct {
	member      string
	condition   history.Condition
	first, last time.Duration // times of the first and the last change
	observers   int           // number of changes; an observer that reports the condition again counts again
}

// viewKey identifies the changes that may belong to one series.
type viewKey struct {
	member    string
	condition history.Condition
}

// viewChanges returns the series of changes, except changes to conditions of a normal start, in the order of their
// first change. Events must be in the order of time.
func viewChanges(events []history.Event) []*viewChange {
	latest := map[viewKey]*viewChange{}
	var all []*viewChange
	for i := range events {
		event := &events[i]
		condition := event.Condition()
		if event.Kind != history.ViewChanged || isUsualCondition(condition) {
			continue
		}
		key := viewKey{member: event.Member, condition: condition}
		series := latest[key]
		if series == nil || event.At-series.last > viewChangeGap {
			series = &viewChange{member: event.Member, condition: condition, first: event.At}
			latest[key] = series
			all = append(all, series)
		}
		series.last = event.At
		series.observers++
	}
	return all
}

// isUsualCondition reports whether the condition is part of a normal start or of serving.
func isUsualCondition(condition history.Condition) bool {
	switch condition {
	case history.ConditionStarting, history.ConditionWarming, history.ConditionServing:
		return true
	default:
		return false
	}
}

// printViewChanges prints the first and the last time of each series of view changes.
func printViewChanges(out io.Writer, events []history.Event) {
	for _, series := range viewChanges(events) {
		fmt.Fprintf(out, "%7.1fs  member %s reported %s by %s, the last at %.1fs\n",
			series.first.Seconds(), series.member, fleet.ConditionName(string(series.condition)), countMembers(series.observers),
			series.last.Seconds())
	}
}

func countMembers(count int) string {
	if count == 1 {
		return "1 member"
	}
	return fmt.Sprintf("%d members", count)
}

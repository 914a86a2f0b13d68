package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"falldeal/internal/fleet"
)

// newTable returns a writer that aligns columns with two spaces between them.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) }

// flushTable writes the rows of a table.
func flushTable(table *tabwriter.Writer) error {
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// printMembers prints a table with one row per member.
func printMembers(out io.Writer, report *fleet.Report) error {
	table := newTable(out)
	fmt.Fprintln(table, "NAME\tZONE\tCONDITION\tSINCE\tREPORTED\tAGE\tCORES\tBUSY\tIN FLIGHT\tSHED\tVERSION\tCONFIG")
	for i := range report.Members {
		printMember(table, &report.Members[i])
	}
	return flushTable(table)
}

func printMember(table io.Writer, member *fleet.MemberReport) {
	name, utilization := member.Name, "-"
	if member.Self {
		name += " *"
	}
	if member.Utilization >= 0 {
		utilization = fmt.Sprintf("%.0f%%", 100*member.Utilization)
	}
	fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%g\t%s\t%d\t%.0f%%\t%s\t%.8s\n",
		name, member.Zone, fleet.ConditionName(member.Condition), formatSeconds(member.SinceMs),
		fleet.ConditionName(member.ReportedState), formatSeconds(member.AgeMs), member.Cores, utilization, member.InFlight,
		100*member.UnservedRatio, member.Version, member.Config)
}

package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"falldeal/internal/fleet"
	"falldeal/internal/overload"
)

// maxStoreMembers is the maximum number of members named in the line of a store.
const maxStoreMembers = 5

// printStatus prints the connection to the fleet, the load, the overload state, the stores and the zones.
func printStatus(out io.Writer, report *fleet.Report) error {
	printConnection(out, report)
	printServing(out, &report.Fresh)
	printOverload(out, &report.Fresh)
	printCalls(out, &report.Fresh)
	printStores(out, report.Members)
	return printZones(out, report)
}

func printConnection(out io.Writer, report *fleet.Report) {
	lastReceived := "never"
	if report.LastReceivedMs >= 0 {
		lastReceived = formatSeconds(report.LastReceivedMs) + " ago"
	}
	fmt.Fprintf(out, "fleet as seen by %s: %s; last update received: %s; updates published every %s, stale after %s\n",
		report.Self, fleet.PositionName(report.Position), lastReceived,
		formatSeconds(report.PublishIntervalMs), formatSeconds(report.FreshMs))
}

func printServing(out io.Writer, fresh *fleet.AggregateReport) {
	fmt.Fprintf(out, "serving: %d members, %g cores, %.1f of them in use, %d requests in flight; "+
		"oldest update: %s; %d members left out as stale\n",
		fresh.Members, fresh.Cores, fresh.CoresInUse, fresh.InFlight, formatSeconds(fresh.OldestMs), fresh.Stale)
}

// printOverload prints the shedding threshold and the retries, if members publish a service rate.
func printOverload(out io.Writer, fresh *fleet.AggregateReport) {
	if fresh.ServiceRate <= 0 {
		return
	}
	threshold := "fleet has capacity, no load is shed"
	if fresh.MaxThreshold > 0 {
		threshold = fmt.Sprintf("fleet is full, shedding below priority %.1f to %.1f (value %.3g to %.3g per second of work)",
			fresh.MinThreshold, fresh.MaxThreshold,
			overload.ValuePerSecondAt(fresh.MinThreshold), overload.ValuePerSecondAt(fresh.MaxThreshold))
	}
	fmt.Fprintf(out, "overload: %s; %.0f attempts per second, %.2f retries per first attempt (budget %.2f); "+
		"service rate: %.1f seconds of work per second\n",
		threshold, fresh.Attempts, fresh.RetryRatio, overload.RetryBudget, fresh.ServiceRate)
}

// printCalls prints the quota of calls to stores, if there is one.
func printCalls(out io.Writer, fresh *fleet.AggregateReport) {
	if fresh.CallQuota <= 0 {
		return
	}
	fmt.Fprintf(out, "calls to stores: quota %.1f, mean in flight %.1f\n",
		fresh.CallQuota, fresh.MeanCalls)
}

// printStores prints a line for each zone and state of its store, with the members that report it. It omits healthy
// stores.
func printStores(out io.Writer, members []fleet.MemberReport) {
	reporters := map[string][]string{} // by zone and state
	for i := range members {
		member := &members[i]
		if member.StoreState == 0 {
			continue
		}
		state := overload.StoreState(member.StoreState)
		round := ""
		if state == overload.StoreProbing {
			round = fmt.Sprintf(", round %d", member.ProbeRound)
		}
		store := member.Zone + " " + state.String()
		reporters[store] = append(reporters[store],
			fmt.Sprintf("%s (%s ago%s)", member.Name, formatSeconds(member.AgeMs), round))
	}
	for _, store := range slices.Sorted(maps.Keys(reporters)) {
		names := reporters[store]
		fmt.Fprintf(out, "store of zone %s: reported by %d members: %s\n",
			store, len(names), strings.Join(names[:min(len(names), maxStoreMembers)], ", "))
	}
}

// printZones prints a row for each zone and one for the whole fleet.
func printZones(out io.Writer, report *fleet.Report) error {
	table := newTable(out)
	fmt.Fprintln(table, "REGION\tZONE\tKNOWN\tALIVE\tSUSPECT\tSTALLED\tUNREACHABLE\tFAILED\tLEFT\t")
	for _, zone := range append(report.Zones, report.Total) {
		mark := ""
		if zone.MostlyUnreachable {
			mark = "mostly unreachable"
		}
		if zone.Zone == "" {
			zone.Region = "all"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", zone.Region, zone.Zone,
			zone.Known, zone.Alive, zone.Suspect, zone.Stalled, zone.Unreachable, zone.Failed, zone.Left, mark)
	}
	return flushTable(table)
}

package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"falldeal/lab/fleetlab"
)

// Indices of fields in /proc/PID/stat, starting at 0; see proc(5). Field 1, the program name, must not contain spaces.
const (
	statUserTicks     = 13
	statSystemTicks   = 14
	statResidentPages = 23

	tickMs = 10 // length of a clock tick, the unit of the CPU times
)

// Names of counters in a member's fleet report.
const (
	counterPacketsOut = "packets_out"
	counterBytesOut   = "bytes_out"
)

// resourceUsage is the total CPU time and network traffic of a number of processes since their starts, and the total of
// their current memory.
type resourceUsage struct{ cpuMs, packets, bytes, memoryMB float64 }

// measureUsage adds up the usage of members, from /proc and from the counters that the members report. A member that
// is not running or does not answer counts as 0.
func measureUsage(ctx context.Context, members []*fleetlab.Member) resourceUsage {
	var total resourceUsage
	for _, member := range members {
		total.addProcess(member.PID())
		if report, err := member.FleetReport(ctx); err == nil {
			total.packets += float64(report.Counters[counterPacketsOut])
			total.bytes += float64(report.Counters[counterBytesOut])
		}
	}
	return total
}

// addProcess adds the CPU time and the memory of a process. It adds nothing if the process does not exist.
func (u *resourceUsage) addProcess(pid int) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return
	}
	fields := strings.Fields(string(stat))
	if len(fields) <= statResidentPages {
		return
	}
	number := func(field int) float64 {
		value, _ := strconv.ParseFloat(fields[field], 64) // the kernel writes numbers
		return value
	}
	u.cpuMs += tickMs * (number(statUserTicks) + number(statSystemTicks))
	u.memoryMB += number(statResidentPages) * float64(os.Getpagesize()) / (1 << 20)
}

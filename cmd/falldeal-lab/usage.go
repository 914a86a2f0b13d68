package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"falldeal/lab/fleetlab"
)

// Fields of /proc/PID/stat, from 0; see proc(5). The name of the program, field 1, must not contain spaces.
const (
	statUserTicks     = 13
	statSystemTicks   = 14
	statResidentPages = 23

	tickMs = 10
)

// Counters in a member's report of its fleet.
const (
	counterPacketsOut = "packets_out"
	counterBytesOut   = "bytes_out"
)

// resourceUsage is what processes have used since their starts, and the memory that they use now, in all.
type resourceUsage struct{ cpuMs, packets, bytes, memoryMB float64 }

// measureUsage adds up the usage of members, by the system's figures and their own counters. One that does not run or
// answer counts as 0.
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

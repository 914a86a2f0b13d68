package main

import (
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

// resourceUsage is what processes have used since their starts, and the memory that they use now, in all.
type resourceUsage struct{ cpuMs, packets, bytes, memoryMB float64 }

// measureUsage adds up the usage of members, by the system's figures and their own counters. One that does not run or
// answer counts as 0.
func measureUsage(members []*fleetlab.Member) resourceUsage {
	var sum resourceUsage
	for _, member := range members {
		sum.addProcess(member.PID())
		if report, err := member.FleetReport(); err == nil {
			sum.packets += float64(report.Counters["packets_out"])
			sum.bytes += float64(report.Counters["bytes_out"])
		}
	}
	return sum
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

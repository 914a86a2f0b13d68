package process

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
)

const (
	// maxHeapRatio is the maximum fraction of the memory limit for the Go runtimes of all processes of an image server
	// together. Buffers of the kernel may take the rest.
	maxHeapRatio = 0.7
	// safeMemoryRatio is the fraction of the memory limit that the processes are to stay within, with the program's files.
	// The Go runtime may exceed its limit for a short time.
	safeMemoryRatio = 0.88
	// untouchedMemory is the memory, in bytes, that the Go runtime counts toward its limit although most of it was never
	// touched, so that the kernel has not provided it: tables for heaps that are larger, and for profiles.
	untouchedMemory = 9 << 19
	// startingMemory is the memory, in bytes, that a successor uses before its predecessor knows of it.
	startingMemory = 3 << 20
	// minHeapRatio is the minimum fraction of the memory limit for the Go runtimes. A limit below what the runtime needs at
	// rest would make it collect garbage all the time.
	minHeapRatio = 0.2
)

// memoryLimit is the memory limit of an image server, which its processes share.
type memoryLimit struct {
	total   int64 // bytes
	program int64 // bytes of the program's files, which count once because all processes share them
}

func newMemoryLimit(memoryMB int) memoryLimit {
	return memoryLimit{total: int64(memoryMB) << 20, program: residentFileBytes()}
}

// apply limits the Go runtime of this process to its part of the memory, if it is divided among the given number of
// processes. It returns after memory beyond that was returned to the kernel.
func (m memoryLimit) apply(processes int) {
	limit := m.heapLimit(processes)
	if debug.SetMemoryLimit(limit) > limit {
		debug.FreeOSMemory()
	}
}

// heapLimit returns the limit, in bytes, for the Go runtime of each of the given number of processes. A process that is alone
// leaves room for the start of its successor.
func (m memoryLimit) heapLimit(processes int) int64 {
	usable := int64(safeMemoryRatio*float64(m.total)) - m.program
	if processes == 1 {
		usable -= startingMemory
	}
	usable = min(usable, int64(maxHeapRatio*float64(m.total)))
	usable = max(usable, int64(minHeapRatio*float64(m.total)))
	return usable/int64(processes) + untouchedMemory
}

// residentFileBytes returns how much memory the kernel uses for files that this process has mapped: the program and the C
// library. It returns 0 if the kernel does not tell.
func residentFileBytes() int64 {
	status, err := os.ReadFile(filepath.Join(string(filepath.Separator), "proc", "self", "status"))
	if err != nil {
		return 0
	}
	return parseResidentFiles(string(status))
}

// parseResidentFiles returns the value of the line RssFile of a process status (see proc(5)), in bytes, or 0 if there is none.
func parseResidentFiles(status string) int64 {
	for line := range strings.Lines(status) {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "RssFile: %d kB", &kilobytes); err == nil {
			return kilobytes << 10
		}
	}
	return 0
}

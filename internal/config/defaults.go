package config

import (
	"time"

	"falldeal/admission"
)

// Defaults of the keys that may be absent.
const (
	defaultStopTimeout     = 3200 * time.Millisecond
	defaultCores           = 1.0
	defaultMemoryMB        = 192
	defaultFileDescriptors = 1024
)

// A process that was replaced may take the longest deadline of its classes, but at most maxReplacedWait, and then
// replacedMargin to end.
const (
	maxReplacedWait = 3 * time.Second
	replacedMargin  = 700 * time.Millisecond
)

// applyDefaults sets the defaults of keys that are absent. A key whose value is null is not absent: it reads as zero, which
// check then rejects.
func (c *Config) applyDefaults(root object) {
	if !root.value.Exists("stop_ms") {
		c.StopTimeout = defaultStopTimeout
	}
	if !root.value.Exists("limits", "cores") {
		c.Limits.Cores = defaultCores
	}
	if !root.value.Exists("limits", "memory_mb") {
		c.Limits.MemoryMB = defaultMemoryMB
	}
	if !root.value.Exists("limits", "sockets") {
		c.Limits.FileDescriptors = defaultFileDescriptors
	}
}

// replacedStopTimeout returns the maximum time in which a process with these classes ends after it was replaced.
func replacedStopTimeout(classes []admission.Class) (timeout time.Duration) {
	for _, class := range classes {
		timeout = max(timeout, min(class.Deadline, maxReplacedWait)+replacedMargin)
	}
	return timeout
}

package config

import (
	"time"

	"falldeal/admission"
)

// Defaults of keys that may be absent.
const (
	defaultStopTimeout     = 3200 * time.Millisecond
	defaultCores           = 1.0
	defaultMemoryMB        = 192
	defaultFileDescriptors = 1024
)

// A process that was replaced gets the longest deadline, up to maxReplacedWait, and replacedMargin to end.
const (
	maxReplacedWait = 3 * time.Second
	replacedMargin  = 700 * time.Millisecond
)

// applyDefaults fills in keys that are absent. One that is null is there, and has to make sense.
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

// replacedStopTimeout returns how long a process with these classes may take to end once it was replaced.
func replacedStopTimeout(classes []admission.Class) (timeout time.Duration) {
	for _, class := range classes {
		timeout = max(timeout, min(class.Deadline, maxReplacedWait)+replacedMargin)
	}
	return timeout
}

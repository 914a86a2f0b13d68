package main

import (
	"strings"

	"github.com/google/pprof/profile"
)

// part is a part of the server's work.
type part struct {
	name     string
	prefixes []string // of the names of its functions
}

// otherPart is the name for samples that belong to no part.
const otherPart = "other"

// parts lists the parts of the server's work. A sample is matched frame by frame from the leaf of its stack to the
// root, and each frame is matched with the parts in this order. The first match decides. Work of the Go runtime for a
// part, such as allocation, is therefore attributed to that part.
//
// Prefixes that start with falldeal/ must be updated when the functions that they match are renamed.
var parts = []part{
	{name: "garbage collection", prefixes: []string{
		"runtime.gcBgMarkWorker", "runtime.bgsweep", "runtime.bgscavenge", "runtime.gcAssistAlloc",
		"runtime.gcStart", "runtime.sweepone",
	}},
	{name: "logs", prefixes: []string{
		"github.com/sirupsen/logrus", "falldeal/internal/logging",
	}},
	{name: "admission", prefixes: []string{
		"falldeal/admission",
	}},
	{name: "dials and closes", prefixes: []string{
		"net.(*Dialer)", "net.(*sysDialer)", "net.(*conn).Close", "net.(*netFD).Close", "net.(*netFD).connect",
	}},
	{name: "socket reads", prefixes: []string{
		"net.(*conn).Read", "net.(*netFD).Read",
	}},
	{name: "socket writes", prefixes: []string{
		"net.(*conn).Write", "net.(*netFD).Write",
	}},
	{name: "accepts", prefixes: []string{
		"net.(*TCPListener).Accept",
	}},
	{name: "codec", prefixes: []string{
		"falldeal/internal/msgpackrpc.(*cursor)", "falldeal/internal/msgpackrpc.(*scanner)",
		"falldeal/internal/msgpackrpc.(*message)", "falldeal/internal/msgpackrpc.(*fields)", "falldeal/internal/msgpackrpc.(*frame",
		"falldeal/internal/msgpackrpc.readFields", "falldeal/internal/msgpackrpc.parse",
		"falldeal/internal/msgpackrpc.append", "falldeal/internal/msgpackrpc.encode",
		"falldeal/internal/agent.decode", "falldeal/internal/agent.encode", "falldeal/internal/agent.append",
		"falldeal/internal/agent.beginCommand", "falldeal/internal/agent.endToken",
		"falldeal/internal/store.readReply", "falldeal/internal/store.parse", "falldeal/internal/store.append",
		"github.com/valyala/fastjson",
	}},
	{name: "deadlines and timers", prefixes: []string{
		"falldeal/internal/deadline", "time.(*Timer)", "time.NewTimer", "time.AfterFunc", "runtime.(*timers)",
		"runtime.(*timer)", "net.(*netFD).Set", "net.(*conn).SetReadDeadline", "net.(*conn).SetWriteDeadline",
	}},
	{name: "scheduling of goroutines", prefixes: []string{
		"runtime.schedule", "runtime.findRunnable", "runtime.mcall", "runtime.park_m", "runtime.goexit0",
		"runtime.newproc", "runtime.ready", "runtime.goready", "runtime.mstart", "runtime.mPark", "runtime.sysmon",
		"runtime.startm", "runtime.wakep", "runtime.selectgo", "runtime.chansend", "runtime.chanrecv",
		"runtime.gopreempt_m", "runtime.netpoll",
	}},
	{name: "event loop", prefixes: []string{
		"falldeal/internal/server",
	}},
	{name: "agent, store, announce links", prefixes: []string{
		"falldeal/internal/agent", "falldeal/internal/store", "falldeal/internal/announce",
	}},
	{name: "write queues", prefixes: []string{
		"falldeal/internal/writequeue",
	}},
	{name: "front-end connections", prefixes: []string{
		"falldeal/internal/msgpackrpc",
	}},
}

// matches reports whether a function belongs to the part.
func (p *part) matches(function string) bool {
	for _, prefix := range p.prefixes {
		if strings.HasPrefix(function, prefix) {
			return true
		}
	}
	return false
}

// partOfFunction returns the name of the part that a function belongs to. Ok is false if there is none.
func partOfFunction(function string) (name string, ok bool) {
	for i := range parts {
		if parts[i].matches(function) {
			return parts[i].name, true
		}
	}
	return "", false
}

// partOf returns the name of the part that a sample belongs to.
func partOf(sample *profile.Sample) string {
	for _, location := range sample.Location {
		for _, line := range location.Line {
			if name, ok := partOfFunction(line.Function.Name); ok {
				return name
			}
		}
	}
	return otherPart
}

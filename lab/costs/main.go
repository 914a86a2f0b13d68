// Command costs splits a CPU profile of an image server by what the time went to.
//
//	go run ./lab/costs PROFILE...
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/google/pprof/profile"
)

// parts are tried in order on each frame of a stack, from its leaf to its root; the first hit decides. What the
// runtime does for a part without being asked by name, such as allocating, goes to whoever called it.
var parts = []struct {
	name string
	of   []string
}{
	{"garbage collection", []string{"runtime.gcBgMarkWorker", "runtime.bgsweep", "runtime.bgscavenge", "runtime.gcAssistAlloc", "runtime.gcStart", "runtime.sweepone"}},
	{"logs", []string{"github.com/sirupsen/logrus", "falldeal/internal/logging"}},
	{"module", []string{"falldeal/admission"}},
	{"dials and closes", []string{"net.(*Dialer)", "net.(*sysDialer)", "net.(*conn).Close", "net.(*netFD).Close", "net.(*netFD).connect"}},
	{"socket reads", []string{"net.(*conn).Read", "net.(*netFD).Read"}},
	{"socket writes", []string{"net.(*conn).Write", "net.(*netFD).Write"}},
	{"accepts", []string{"net.(*TCPListener).Accept"}},
	{"codec", []string{"falldeal/internal/msgpackrpc.(*decoder)", "falldeal/internal/msgpackrpc.parse", "falldeal/internal/msgpackrpc.append", "falldeal/internal/msgpackrpc.encode",
		"falldeal/internal/msgpackrpc.(*fields)", "falldeal/internal/msgpackrpc.fieldsOf", "falldeal/internal/msgpackrpc.(*frame",
		"falldeal/internal/agent.(*parser)", "falldeal/internal/agent.append", "falldeal/internal/agent.launch", "falldeal/internal/agent.deliver",
		"falldeal/internal/store.readReply", "falldeal/internal/store.append", "github.com/valyala/fastjson"}},
	{"deadlines and timers", []string{"falldeal/internal/deadline", "time.(*Timer)", "time.NewTimer", "time.AfterFunc", "runtime.(*timers)", "runtime.(*timer)", "net.(*netFD).Set", "net.(*conn).SetReadDeadline", "net.(*conn).SetWriteDeadline"}},
	{"scheduling of goroutines", []string{"runtime.schedule", "runtime.findRunnable", "runtime.mcall", "runtime.park_m", "runtime.goexit0", "runtime.newproc", "runtime.ready", "runtime.goready",
		"runtime.mstart", "runtime.mPark", "runtime.sysmon", "runtime.startm", "runtime.wakep", "runtime.selectgo", "runtime.chansend", "runtime.chanrecv", "runtime.gopreempt_m", "runtime.netpoll"}},
	{"loop", []string{"falldeal/internal/server"}},
	{"agent, store, announce links", []string{"falldeal/internal/agent", "falldeal/internal/store", "falldeal/internal/announce"}},
	{"outbox", []string{"falldeal/internal/writequeue"}},
	{"front connections", []string{"falldeal/internal/msgpackrpc"}},
}

func partOf(s *profile.Sample) string {
	for _, l := range s.Location {
		for _, line := range l.Line {
			for _, p := range parts {
				for _, prefix := range p.of {
					if strings.HasPrefix(line.Function.Name, prefix) {
						return p.name
					}
				}
			}
		}
	}
	return "other"
}

func split(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	p, err := profile.Parse(f)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	sums, total := map[string]int64{}, int64(0)
	for _, s := range p.Sample {
		v := s.Value[len(s.Value)-1]
		sums[partOf(s)] += v
		total += v
	}
	fmt.Printf("%s: %.2f s of processor time\n", path, float64(total)/1e9)
	row := func(name string) {
		if sums[name] > 0 {
			fmt.Printf("  %-28s %5.1f%%\n", name, 100*float64(sums[name])/float64(total))
		}
	}
	for _, part := range parts {
		row(part.name)
	}
	row("other")
	return nil
}

func main() {
	for _, path := range os.Args[1:] {
		if err := split(path); err != nil {
			fmt.Fprintln(os.Stderr, "costs:", err)
			os.Exit(1)
		}
	}
}

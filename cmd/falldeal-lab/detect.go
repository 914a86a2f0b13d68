package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"falldeal/lab/faults"
	"falldeal/lab/fleetlab"
)

// rest is for how long processes are left to themselves while their cost is measured.
const rest = 20 * time.Second

// detect kills a member again and again and times how long all the others take to call it cut off or dead. Before
// that it counts for how many members others are wrong while nobody is killed, with the losses of the script.
func detect(a *asked, out io.Writer) error {
	l, err := open(a)
	if err != nil {
		return err
	}
	defer l.Close()
	stopped, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	defer context.AfterFunc(stopped, func() { l.Close(); os.Exit(1) })()
	if a.fault.Ratio > 0 {
		if err := l.AddFault(faults.Fault{Kind: faults.KindLoss, Target: "*", Peer: "*", Ratio: a.fault.Ratio}); err != nil {
			return err
		}
	}
	if err := l.StartMembers(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = l.RunScript(ctx) }()
	joined, err := until(func() bool { return count(l, "serving") == len(l.Members)*len(l.Members) })
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d members, %.0f%% loss: all see all after %.1fs\n", a.o.Members, 100*a.fault.Ratio, joined.Seconds())
	watched := l.Log.Now()
	removed := 0
	for l.Log.Now()-watched < a.for_ {
		removed = max(removed, count(l, "cut off", "dead", "wedged"))
		time.Sleep(250 * time.Millisecond)
	}
	fmt.Fprintf(out, "false removals in %v: %d of %d views at most at once\n", a.for_, removed, len(l.Members)*(len(l.Members)-1))
	before, begin := account(l), l.Log.Now()
	time.Sleep(rest) // nobody asks meanwhile: answers cost more than membership
	now, n, spent := account(l), float64(len(l.Members)), (l.Log.Now() - begin).Seconds()
	fmt.Fprintf(out, "at rest each: %.1f ms of processor time and %.1f packets, %.0f bytes sent a second; %.1f MB resident\n", (now.cpu-before.cpu)/n/spent,
		(now.packets-before.packets)/n/spent, (now.bytes-before.bytes)/n/spent, now.memory/n)
	rnd := rand.New(rand.NewPCG(a.o.Seed, 5))
	var first, all []time.Duration
	for range a.detect {
		m := l.Members[rnd.IntN(len(l.Members))]
		m.Kill()
		begin := l.Log.Now()
		seen := time.Duration(0)
		d, err := until(func() bool {
			n := says(l, m, "cut off", "dead", "wedged")
			if n > 0 && seen == 0 {
				seen = l.Log.Now() - begin
			}
			return n == len(l.Members)-1
		})
		if err != nil {
			return err
		}
		first, all = append(first, seen), append(all, d)
		if err := m.Start(); err != nil {
			return err
		}
		if _, err := until(func() bool { return says(l, m, "serving", "warming") >= len(l.Members)-1 }); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "killed %d times: seen by one after %s; by all after %s\n", a.detect, spread(first), spread(all))
	return nil
}

// used is what all processes have used so far: ms of processor time, packets and bytes; and MB that they hold.
type used struct{ cpu, packets, bytes, memory float64 }

// account reads the system's accounts, which count in ticks of 10 ms, and the members' own counters.
func account(l *fleetlab.Lab) (u used) {
	for _, m := range l.Members {
		if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.PID())); err == nil {
			if f := strings.Fields(string(text)); len(f) > 23 {
				for _, i := range []int{13, 14} {
					ticks, _ := strconv.ParseFloat(f[i], 64)
					u.cpu += 10 * ticks
				}
				pages, _ := strconv.ParseFloat(f[23], 64)
				u.memory += pages * float64(os.Getpagesize()) / (1 << 20)
			}
		}
		if r, err := m.FleetReport(); err == nil {
			u.packets += float64(r.Counters["packets_out"])
			u.bytes += float64(r.Counters["bytes_out"])
		}
	}
	return u
}

func spread(d []time.Duration) string {
	slices.Sort(d)
	at := func(q float64) float64 { return d[int(q*float64(len(d)-1))].Seconds() }
	return fmt.Sprintf("%.1f / %.1f / %.1f / %.1f s (least, median, 90%%, most)", at(0), at(0.5), at(0.9), at(1))
}

func until(cond func() bool) (time.Duration, error) {
	begin := time.Now()
	for !cond() {
		if time.Since(begin) > 3*time.Minute {
			return 0, fmt.Errorf("not reached within 3 minutes")
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(begin), nil
}

// count is how many views, of all running members on all, hold one of these words.
func count(l *fleetlab.Lab, words ...string) (n int) {
	for _, m := range l.Members {
		if r, err := m.FleetReport(); err == nil {
			for _, x := range r.Members {
				if slices.Contains(words, x.Condition) {
					n++
				}
			}
		}
	}
	return n
}

// says is how many running members say one of these words of a member.
func says(l *fleetlab.Lab, of *fleetlab.Member, words ...string) (n int) {
	for _, m := range l.Members {
		if m == of || !m.Running() {
			continue
		}
		if r, err := m.FleetReport(); err == nil {
			for _, x := range r.Members {
				if x.Name == of.Name && slices.Contains(words, x.Condition) {
					n++
				}
			}
		}
	}
	return n
}

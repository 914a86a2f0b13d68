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

// idleTime is for how long processes are left to themselves while their cost is measured.
const idleTime = 20 * time.Second

// detect kills a member again and again and times how long all the others take to call it cut off or dead. Before
// that it counts for how many members others are wrong while nobody is killed, with the losses of the script.
func detect(opts *options, out io.Writer) error {
	fleet, err := openLab(opts)
	if err != nil {
		return err
	}
	defer fleet.Close()
	stopped, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	defer context.AfterFunc(stopped, func() { fleet.Close(); os.Exit(1) })()
	if opts.fault.Ratio > 0 {
		if err := fleet.AddFault(faults.Fault{Kind: faults.KindLoss, Target: "*", Peer: "*", Ratio: opts.fault.Ratio}); err != nil {
			return err
		}
	}
	if err := fleet.StartMembers(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = fleet.RunScript(ctx) }()
	joined, err := waitUntil(func() bool { return countViews(fleet, "serving") == len(fleet.Members)*len(fleet.Members) })
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d members, %.0f%% loss: all see all after %.1fs\n", opts.lab.Members, 100*opts.fault.Ratio, joined.Seconds())
	watched := fleet.Log.Now()
	removed := 0
	for fleet.Log.Now()-watched < opts.duration {
		removed = max(removed, countViews(fleet, "cut off", "dead", "wedged"))
		time.Sleep(250 * time.Millisecond)
	}
	fmt.Fprintf(out, "false removals in %v: %d of %d views at most at once\n", opts.duration, removed, len(fleet.Members)*(len(fleet.Members)-1))
	before, begin := measureUsage(fleet), fleet.Log.Now()
	time.Sleep(idleTime) // nobody asks meanwhile: answers cost more than membership
	now, n, spent := measureUsage(fleet), float64(len(fleet.Members)), (fleet.Log.Now() - begin).Seconds()
	fmt.Fprintf(out, "at rest each: %.1f ms of processor time and %.1f packets, %.0f bytes sent a second; %.1f MB resident\n", (now.cpu-before.cpu)/n/spent,
		(now.packets-before.packets)/n/spent, (now.bytes-before.bytes)/n/spent, now.memory/n)
	rnd := rand.New(rand.NewPCG(opts.lab.Seed, 5))
	var first, all []time.Duration
	for range opts.detect {
		m := fleet.Members[rnd.IntN(len(fleet.Members))]
		m.Kill()
		begin := fleet.Log.Now()
		seen := time.Duration(0)
		d, err := waitUntil(func() bool {
			n := countViewsOf(fleet, m, "cut off", "dead", "wedged")
			if n > 0 && seen == 0 {
				seen = fleet.Log.Now() - begin
			}
			return n == len(fleet.Members)-1
		})
		if err != nil {
			return err
		}
		first, all = append(first, seen), append(all, d)
		if err := m.Start(); err != nil {
			return err
		}
		if _, err := waitUntil(func() bool { return countViewsOf(fleet, m, "serving", "warming") >= len(fleet.Members)-1 }); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "killed %d times: seen by one after %s; by all after %s\n", opts.detect, formatQuantiles(first), formatQuantiles(all))
	return nil
}

// resourceUsage is what all processes have used so far: ms of processor time, packets and bytes; and MB that they hold.
type resourceUsage struct{ cpu, packets, bytes, memory float64 }

// measureUsage reads the system's accounts, which count in ticks of 10 ms, and the members' own counters.
func measureUsage(fleet *fleetlab.Lab) (u resourceUsage) {
	for _, m := range fleet.Members {
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

func formatQuantiles(d []time.Duration) string {
	slices.Sort(d)
	at := func(q float64) float64 { return d[int(q*float64(len(d)-1))].Seconds() }
	return fmt.Sprintf("%.1f / %.1f / %.1f / %.1f s (least, median, 90%%, most)", at(0), at(0.5), at(0.9), at(1))
}

func waitUntil(cond func() bool) (time.Duration, error) {
	begin := time.Now()
	for !cond() {
		if time.Since(begin) > 3*time.Minute {
			return 0, fmt.Errorf("not reached within 3 minutes")
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(begin), nil
}

// countViews is how many views, of all running members on all, hold one of these words.
func countViews(fleet *fleetlab.Lab, conditions ...string) (n int) {
	for _, m := range fleet.Members {
		if r, err := m.FleetReport(); err == nil {
			for _, x := range r.Members {
				if slices.Contains(conditions, x.Condition) {
					n++
				}
			}
		}
	}
	return n
}

// countViewsOf is how many running members say one of these words of a member.
func countViewsOf(fleet *fleetlab.Lab, member *fleetlab.Member, conditions ...string) (n int) {
	for _, m := range fleet.Members {
		if m == member || !m.Running() {
			continue
		}
		if r, err := m.FleetReport(); err == nil {
			for _, x := range r.Members {
				if x.Name == member.Name && slices.Contains(conditions, x.Condition) {
					n++
				}
			}
		}
	}
	return n
}

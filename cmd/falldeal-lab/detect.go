package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"falldeal/lab/faults"
	"falldeal/lab/fleetlab"
)

// detect kills a member again and again and times how long all the others take to call it cut off or dead. Before
// that it counts for how many members others are wrong while nobody is killed, with the losses of the script.
func detect(a *asked, out io.Writer) error {
	l, err := open(a)
	if err != nil {
		return err
	}
	defer l.Close()
	if a.fault.Share > 0 {
		if err := l.Add(faults.Fault{Kind: faults.Loss, Who: "*", To: "*", Share: a.fault.Share}); err != nil {
			return err
		}
	}
	if err := l.Begin(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = l.Play(ctx) }()
	joined, err := until(func() bool { return count(l, "serving") == len(l.Members)*len(l.Members) })
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d members, %.0f%% loss: all see all after %.1fs\n", a.o.Members, 100*a.fault.Share, joined.Seconds())
	begin := l.Log.Now()
	removed := 0
	for l.Log.Now()-begin < a.for_ {
		removed = max(removed, count(l, "cut off", "dead", "wedged"))
		time.Sleep(250 * time.Millisecond)
	}
	fmt.Fprintf(out, "false removals in %v: %d of %d views at most at once\n", a.for_, removed, len(l.Members)*(len(l.Members)-1))
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
		if r, err := m.View(); err == nil {
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
		if m == of || !m.Runs() {
			continue
		}
		if r, err := m.View(); err == nil {
			for _, x := range r.Members {
				if x.Name == of.Name && slices.Contains(words, x.Condition) {
					n++
				}
			}
		}
	}
	return n
}

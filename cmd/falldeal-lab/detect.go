package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"falldeal/internal/fleet"
	"falldeal/lab/faults"
	"falldeal/lab/fleetlab"
	"falldeal/lab/history"
)

const (
	// idleTime is how long the cost of idle processes is measured.
	idleTime = 20 * time.Second

	// falseRemovalPollInterval is the time between two counts of false removals.
	falseRemovalPollInterval = 250 * time.Millisecond
	// waitTimeout bounds each wait for a condition.
	waitTimeout = 3 * time.Minute

	victimStream = 5 // selects the random sequence that the members to kill are drawn from
)

// removedConditions are the reported conditions that detect counts as a removal of the member from the fleet.
var removedConditions = []history.Condition{
	history.ConditionUnreachable, history.ConditionFailed, history.ConditionStalled,
}

// errWaitTimeout reports a condition that was not met within waitTimeout.
var errWaitTimeout = errors.New("condition not reached within 3 minutes")

// detection measures the failure detection of a fleet without load.
type detection struct {
	opts *options
	lab  *fleetlab.Lab
	out  io.Writer
}

// detect measures failure detection. It first counts live members that are reported as removed, under the packet loss
// of --share, and measures the cost of membership. Then it kills members and measures how long the others take to
// detect it.
func detect(ctx context.Context, opts *options, out io.Writer) error {
	lab, err := openLab(ctx, opts)
	if err != nil {
		return err
	}
	defer lab.Close()
	// The measurements below do not end when ctx ends, so the process exits.
	defer context.AfterFunc(ctx, func() {
		lab.Close()
		os.Exit(1)
	})()
	if err := addLoss(lab, opts.fault.Ratio); err != nil {
		return err
	}
	if err := lab.StartMembers(ctx); err != nil {
		return fmt.Errorf("start members: %w", err)
	}
	measured := &detection{opts: opts, lab: lab, out: out}
	defer measured.startScript(ctx)()
	if err := measured.waitForJoin(ctx); err != nil {
		return err
	}
	measured.countFalseRemovals(ctx)
	measured.measureIdleCost(ctx)
	return measured.timeKills(ctx)
}

// addLoss makes the network between all members lose a fraction of the datagrams.
func addLoss(lab *fleetlab.Lab, ratio float64) error {
	if ratio <= 0 {
		return nil
	}
	return addFault(lab, faults.Fault{
		Kind: faults.KindLoss, Target: faults.AllMembers, Peer: faults.AllMembers, Ratio: ratio,
	})
}

// startScript runs the fault script until stop is called.
func (d *detection) startScript(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var script sync.WaitGroup
	script.Go(func() { _ = d.lab.RunScript(ctx) }) // ends early if the loss cannot be injected
	return func() {
		cancel()
		script.Wait()
	}
}

// waitForJoin waits until every member reports all members as serving.
func (d *detection) waitForJoin(ctx context.Context) error {
	members := len(d.lab.Members)
	joined, err := waitUntil(func() bool { return d.countViews(ctx, history.ConditionServing) == members*members })
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "%d members, %.0f%% packet loss: full membership after %.1f s\n",
		d.opts.lab.Members, 100*d.opts.fault.Ratio, joined.Seconds())
	return nil
}

// countFalseRemovals prints the maximum number of views, at one time, in which a live member was removed.
func (d *detection) countFalseRemovals(ctx context.Context) {
	start := d.lab.Log.Now()
	removed := 0
	for d.lab.Log.Now()-start < d.opts.duration {
		removed = max(removed, d.countViews(ctx, removedConditions...))
		time.Sleep(falseRemovalPollInterval)
	}
	members := len(d.lab.Members)
	fmt.Fprintf(d.out, "false removals in %v: at most %d of %d views at a time\n",
		d.opts.duration, removed, members*(members-1))
}

// measureIdleCost prints the cost of membership per process. It requests no fleet report during the measurement,
// because that would add to the cost.
func (d *detection) measureIdleCost(ctx context.Context) {
	before := measureUsage(ctx, d.lab.Members)
	start := d.lab.Log.Now()
	time.Sleep(idleTime)
	after := measureUsage(ctx, d.lab.Members)
	members := float64(len(d.lab.Members))
	elapsed := (d.lab.Log.Now() - start).Seconds()
	perSecond := func(before, after float64) float64 { return (after - before) / members / elapsed }
	fmt.Fprintf(d.out, "idle cost per process: %.1f ms CPU/s, %.1f packets/s and %.0f bytes/s sent, "+
		"%.1f MB resident\n",
		perSecond(before.cpuMs, after.cpuMs), perSecond(before.packets, after.packets),
		perSecond(before.bytes, after.bytes), after.memoryMB/members)
}

// timeKills kills members one at a time, and prints how long the first and the last of the other members take to
// detect it.
func (d *detection) timeKills(ctx context.Context) error {
	random := rand.New(rand.NewPCG(d.opts.lab.Seed, victimStream))
	var byOne, byAll []time.Duration
	for range d.opts.detect {
		victim := d.lab.Members[random.IntN(len(d.lab.Members))]
		first, all, err := d.timeKill(ctx, victim)
		if err != nil {
			return err
		}
		byOne = append(byOne, first)
		byAll = append(byAll, all)
	}
	fmt.Fprintf(d.out, "%d kills: detected by the first member after %s; by all members after %s\n",
		d.opts.detect, formatQuantiles(byOne), formatQuantiles(byAll))
	return nil
}

// timeKill kills a member and restarts it. It returns when all others have detected both, with the times from the
// kill until the first and until all others had detected it.
func (d *detection) timeKill(ctx context.Context, victim *fleetlab.Member) (byOne, byAll time.Duration, err error) {
	others := len(d.lab.Members) - 1
	victim.Kill()
	start := d.lab.Log.Now()
	byAll, err = waitUntil(func() bool {
		seen := d.countViewsOf(ctx, victim, removedConditions...)
		if seen > 0 && byOne == 0 {
			byOne = d.lab.Log.Now() - start
		}
		return seen == others
	})
	if err != nil {
		return 0, 0, err
	}
	if err := victim.Start(ctx); err != nil {
		return 0, 0, fmt.Errorf("restart %s: %w", victim.Name, err)
	}
	_, err = waitUntil(func() bool {
		return d.countViewsOf(ctx, victim, history.ConditionServing, history.ConditionWarming) >= others
	})
	return byOne, byAll, err
}

// countViews returns the number of views, over all pairs of an observer that answers and a member, in which the
// member is in one of the conditions.
func (d *detection) countViews(ctx context.Context, conditions ...history.Condition) int {
	count := 0
	for _, observer := range d.lab.Members {
		count += countReported(ctx, observer, func(observed *fleet.MemberReport) bool {
			return slices.Contains(conditions, history.Condition(observed.Condition))
		})
	}
	return count
}

// countViewsOf returns the number of other running members that report a member in one of the conditions.
func (d *detection) countViewsOf(ctx context.Context, member *fleetlab.Member, conditions ...history.Condition) int {
	count := 0
	for _, observer := range d.lab.Members {
		if observer == member || !observer.Running() {
			continue
		}
		count += countReported(ctx, observer, func(observed *fleet.MemberReport) bool {
			return observed.Name == member.Name && slices.Contains(conditions, history.Condition(observed.Condition))
		})
	}
	return count
}

// countReported returns the number of members in an observer's report that match. It is 0 if the observer does not
// answer.
func countReported(ctx context.Context, observer *fleetlab.Member, match func(observed *fleet.MemberReport) bool) int {
	report, err := observer.FleetReport(ctx)
	if err != nil {
		return 0
	}
	count := 0
	for i := range report.Members {
		if match(&report.Members[i]) {
			count++
		}
	}
	return count
}

// waitUntil polls a condition until it is met and returns how long that took.
func waitUntil(condition func() bool) (time.Duration, error) {
	start := time.Now()
	for !condition() {
		if time.Since(start) > waitTimeout {
			return 0, errWaitTimeout
		}
		time.Sleep(pollInterval)
	}
	return time.Since(start), nil
}

// formatQuantiles formats the distribution of durations. It sorts the slice, which must not be empty.
func formatQuantiles(durations []time.Duration) string {
	slices.Sort(durations)
	quantile := func(q float64) float64 { return durations[int(q*float64(len(durations)-1))].Seconds() }
	return fmt.Sprintf("%.1f / %.1f / %.1f / %.1f s (min, median, p90, max)",
		quantile(0), quantile(0.5), quantile(0.9), quantile(1))
}

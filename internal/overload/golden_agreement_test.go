package overload

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"falldeal/internal/fleet"
	"falldeal/lab/golden"
)

// goldenView returns the first member's view of a fleet in two zones. All members serve and find their store unresponsive.
func goldenView(members int) *fleet.Snapshot {
	view := fleet.NewView("n000", fleet.Limits{Members: members, ForgetAfter: time.Hour})
	for member := range members {
		name, run := fmt.Sprintf("n%03d", member), uint64(1000+member)
		view.Merge(time.Second, 0, fleet.Record{
			Name:   name,
			Run:    run,
			Seq:    1,
			Region: "eu",
			Zone:   fmt.Sprint("z", member%2),
			State:  fleet.Serving,
			Load:   fleet.Load{Utilization: -1, StoreState: uint8(StoreUnresponsive), StoreID: 5},
		})
		view.ObserveReach(time.Second, name, run, fleet.Reached)
	}
	return view.Snapshot(time.Second)
}

// Members compute for themselves who counts the attempts of a request, collects a zone or probes a store, and the
// fingerprint and priority of a request. If versions computed it differently, their members would not agree.
func TestGoldenAgreement(t *testing.T) {
	var got strings.Builder
	writeFingerprints(&got)
	writeCountingMembers(&got)
	writeCollectors(&got)
	writeProbers(&got)
	writePriorities(&got)
	for state := StoreHealthy; state <= StoreRecovering; state++ {
		fmt.Fprintf(&got, "store state %d: %s\n", state, state)
	}
	golden.RequireFile(t, goldenAgreement, got.String())
}

// writeFingerprints writes the fingerprint of requests, each with one property set, and of one with all.
func writeFingerprints(out *strings.Builder) {
	for _, request := range []struct {
		class, key, idempotencyKey string
		client                     int
		rank, cost                 float64
	}{
		{},
		{class: "thumb"},
		{key: "images/1"},
		{idempotencyKey: "ab12"},
		{client: 7},
		{rank: 0.25},
		{cost: 1.5},
		{"thumb", "images/1", "ab12", 7, 0.25, 1.5},
	} {
		fingerprint := Fingerprint(request.class, request.key, request.idempotencyKey,
			request.client, request.rank, request.cost)
		fmt.Fprintf(out, "fingerprint class=%q key=%q once=%q caller=%d rank=%v cost=%v: %016x\n",
			request.class, request.key, request.idempotencyKey, request.client, request.rank, request.cost, fingerprint)
	}
}

// writeCountingMembers writes which member counts the attempts of some requests.
func writeCountingMembers(out *strings.Builder) {
	view := goldenView(10)
	for fingerprint := range uint64(8) {
		member := &view.Members[countingMember(fingerprint, view)]
		fmt.Fprintf(out, "tries of %d are counted by: %s\n", fingerprint, member.Name)
	}
}

// writeCollectors writes which members collect each of the two zones.
func writeCollectors(out *strings.Builder) {
	view := goldenView(60)
	for _, index := range []int{0, 1} {
		member := &view.Members[index]
		collector := NewCollector(processOf(member))
		recipients := collector.Tick(time.Second, Aggregate{Members: 1}, view)
		fmt.Fprintf(out, "parts of zone %s go to: %v\n", member.Zone, recipients)
	}
}

// writeProbers writes which members probe in each of four rounds. All members find their store unresponsive and have the
// same view.
func writeProbers(out *strings.Builder) {
	const members, store, failures = 10, 5, failureThreshold
	for round := range uint64(4) {
		for i := range members {
			view := goldenView(members)
			member := &view.Members[i]
			view.Members[0].Self, member.Self = false, true
			coordinator := NewProbeCoordinator(member.Run, member.Zone)
			coordinator.Tick(time.Second, store, view, time.Second)
			for range failures {
				coordinator.RecordCall(false)
			}
			coordinator.Tick(time.Second, store, view, time.Second)
			coordinator.round.number = round
			var load fleet.Load
			if allowance := coordinator.Tick(time.Second, store, view, time.Second); allowance == AllowSingle {
				coordinator.AddToLoad(&load)
				fmt.Fprintf(out, "turn %d in zone %s: %s tells store=%d store_id=%d round=%d\n", round, member.Zone, member.Name,
					load.StoreState, load.StoreID, load.ProbeRound)
			}
		}
	}
}

// writePriorities writes the priority of requests, and the highest value per second of work at that priority.
func writePriorities(out *strings.Builder) {
	for _, request := range []struct{ value, work, rank float64 }{
		{1, 1, 0}, {1, 1, 0.5}, {1, 1, 2}, {8, 0.125, 0}, {1e9, 1e-3, 1}, {1e-9, 1, 0.25}, {0, 1, 0},
	} {
		priority := Priority(request.value, request.work, request.rank)
		fmt.Fprintf(out, "place value=%v work=%v rank=%v: %.6f, worth at most %.6f\n",
			request.value, request.work, request.rank, priority, ValuePerSecondAt(priority))
	}
}

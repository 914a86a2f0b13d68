package admission

import (
	"testing"

	"falldeal/admission/internal/rolling"

	"github.com/stretchr/testify/require"
)

// testValues returns request values and an empty queue for the classes of settings.
func testValues(settings *Settings) (*requestValues, *requestQueue) {
	values := &requestValues{estimator: &estimator{}}
	values.estimator.configure(settings)
	values.configure(settings)
	queue := &requestQueue{}
	queue.grow(len(settings.Classes))
	return values, queue
}

// The value per unit of CPU time or calls, with bounds for requests that use hardly any, and with the value
// factor of the tenant.
func TestValueDensity(t *testing.T) {
	settings := &Settings{Classes: []Class{{PriorityWeight: 3}, {PriorityWeight: 6, CallsDependency: true}}}
	values, _ := testValues(settings)
	values.estimator.estimates[1].callsPerRun = rolling.AverageOf(2)
	for _, test := range []struct {
		name      string
		request   request
		scarce    resource
		perWork   bool
		wantValue float64
	}{
		{"by CPU time", request{class: 0, work: 0.5}, resourceCPU, false, 6},
		{"no work", request{class: 0}, resourceCPU, false, 3000},
		{"by calls", request{class: 1, work: 0.5}, resourceCalls, false, 3},
		{"weight per work, by CPU time", request{class: 0, work: 0.5}, resourceCPU, true, 3},
		{"weight per work, by calls", request{class: 1, work: 0.5}, resourceCalls, true, 1.5},
	} {
		values.weightPerWork = test.perWork
		require.InDelta(t, test.wantValue, values.density(&test.request, test.scarce), 1e-9, test.name)
	}
	values.weightPerWork = false
	values.quotas.states[0].valueFactor = 0.5
	require.InDelta(t, 3, values.density(&request{work: 0.5}, resourceCPU), 1e-9, "tenant over its quota")
	values.estimator.estimates[1].callsPerRun = rolling.AverageOf(0.001)
	require.InDelta(t, 30, values.density(&request{class: 1}, resourceCalls), 1e-9, "few calls per run")
}

// A queued request must be displaced only by one of clearly more value, and only if it uses the scarce
// resource.
func TestVictimHasClearlyLessValue(t *testing.T) {
	settings := &Settings{Classes: []Class{{PriorityWeight: 1}, {PriorityWeight: 0.85, CallsDependency: true},
		{PriorityWeight: 0.5, CallsDependency: true}}}
	values, queue := testValues(settings)
	newcomer := &request{class: 0, work: 1}
	require.Nil(t, values.findVictim(queue, newcomer, resourceCPU), "the queue is empty")
	similar := &request{class: 1, work: 1}
	queue.push(similar)
	require.Nil(t, values.findVictim(queue, newcomer, resourceCPU), "value not clearly less")
	cheap := &request{class: 2, work: 1}
	queue.push(cheap)
	require.Same(t, cheap, values.findVictim(queue, newcomer, resourceCPU))
	large := &request{class: 0, work: 9}
	queue.push(large)
	require.Same(t, large, values.findVictim(queue, newcomer, resourceCPU), "lowest value per unit of work")
	require.Same(t, cheap, values.findVictim(queue, newcomer, resourceCalls), "the large request makes no calls")
	queue.remove(cheap)
	cheap.state = running
	require.Nil(t, values.findVictim(queue, newcomer, resourceCalls), "the candidate has left the queue")
	require.Equal(t, ReasonCPU, resourceCPU.rejectionReason())
	require.Equal(t, ReasonDependency, resourceCalls.rejectionReason())
	require.Equal(t, "cpu calls", resourceCPU.String()+" "+resourceCalls.String())
}

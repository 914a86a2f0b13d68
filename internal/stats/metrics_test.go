package stats

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// testTables has a different size for each table.
var testTables = Tables{CompletedIDs: 1, Deadlines: 2, ControllerDeadlines: 3, QueueEntries: 4, InboxEvents: 5, Claims: 6,
	PeerMessages: 7, PeerKeys: 8}

// The operators' collector looks for these names. The name of a class may contain separators, which must not split a metric
// name or a line.
func TestMetricNames(t *testing.T) {
	counters := Counters{
		Responses:     map[string]*ResponseCounts{"licence-order": {Served: 812, Rejected: 3}, "a.b\nc": {Failed: 1}},
		Runs:          900,
		Reloads:       2,
		ReloadsFailed: 1,
	}
	require.Equal(t, `app.calls.a_b_c.success:0|c
app.calls.a_b_c.busy:0|c
app.calls.a_b_c.failure:1|c
app.calls.licence-order.success:812|c
app.calls.licence-order.busy:3|c
app.calls.licence-order.failure:0|c
app.backend_calls:900|c
app.inflight:14|g
app.tables.completed_ids:1|g
app.tables.deadlines:2|g
app.tables.controller_deadlines:3|g
app.tables.queue_entries:4|g
app.tables.inbox:5|g
app.tables.claims:6|g
app.tables.peer_messages:7|g
app.tables.peer_keys:8|g
app.reconfig_ok:2|c
app.reconfig_failed:1|c
`, string(Metrics{Counters: &counters, InFlight: 14, Tables: testTables}.Append(nil)))
}

package wire

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"falldeal/admission"
)

const microsecond = time.Microsecond

// eventLine writes an event as the simulator does; the test's half of the codec.
func eventLine(node int, event admission.Event) string {
	bit := map[bool]int{true: 1}
	names := map[admission.Outcome]string{}
	for k, v := range outcomes {
		names[v] = k
	}
	switch event.Kind {
	case admission.EventRequest:
		key := "-"
		if event.HasSubject {
			key = "acct/x"
		}
		return fmt.Sprintf("ORDER %d %d %d %g %d %d %s %d 0 %d %g %d %d %d", node, event.ID, event.Client, event.MemoryKB, event.Tenant,
			event.CostHint/microsecond, key, bit[event.Retry], event.RetryOf, event.Rank, event.Deadline/microsecond, event.Waited/microsecond, event.Class)
	case admission.EventDone:
		return fmt.Sprintf("DONE %d %d %s %d", node, event.ID, names[event.Outcome], event.Took/microsecond)
	case admission.EventCancelled:
		return fmt.Sprintf("DROPPED %d %d", node, event.ID)
	case admission.EventCallNeeded:
		return fmt.Sprintf("WANTS_CALL %d %d", node, event.ID)
	case admission.EventCallDone:
		return fmt.Sprintf("CALL_RESULT %d %d %d %s", node, event.ID, event.Took/microsecond, names[event.Outcome])
	case admission.EventDrain:
		return fmt.Sprintf("NOTICE %d %d", node, event.StopAt/microsecond)
	}
	return fmt.Sprintf("ELAPSED %d w core_use:%g,on_cores:%g,heap_share:%g,links:%g,unknown:7", node, event.Gauges.CPUUtilization,
		event.Gauges.CPUDemand, event.Gauges.MemoryUtilization, event.Gauges.Connections)
}

func TestReadEvents(t *testing.T) {
	events := []admission.Event{
		{Kind: admission.EventRequest, ID: 3233622311735748, Client: 17, MemoryKB: 24.5, Tenant: 1, CostHint: 12000 * microsecond, HasSubject: true,
			Retry: true, RetryOf: 1422162698119961, Rank: 0.625, Deadline: 8652250 * microsecond, Waited: 1850 * microsecond, Class: 2},
		{Kind: admission.EventCancelled, ID: 7}, {Kind: admission.EventCallNeeded, ID: 7}, {Kind: admission.EventDrain, StopAt: 11912250 * microsecond},
		{Kind: admission.EventTimer, Gauges: admission.Gauges{CPUUtilization: 0.62, CPUDemand: 3, MemoryUtilization: 0.41, Connections: 120}},
	}
	for _, outcome := range outcomes {
		events = append(events, admission.Event{Kind: admission.EventDone, ID: 5, Outcome: outcome, Took: 9 * microsecond},
			admission.Event{Kind: admission.EventCallDone, ID: 5, Outcome: outcome, Took: 9 * microsecond})
	}
	for _, event := range events {
		var batch Batch
		if err := NewReader(strings.NewReader("SYNC 5\n" + eventLine(3, event) + "\nOVER_TO_YOU\n")).Read(&batch); err != nil {
			t.Fatal(err)
		}
		if message := batch.Messages[0]; batch.Now != 5*microsecond || message.Node != 3 || message.Kind != MessageEvent || !reflect.DeepEqual(message.Event, event) {
			t.Errorf("%s\ngave %+v", eventLine(3, event), message)
		}
	}
}

func TestAppendAction(t *testing.T) {
	for want, action := range map[string]admission.Action{
		"SERVE 3 9":                   {Kind: admission.ActionRun, ID: 9},
		"YANK 3 9":                    {Kind: admission.ActionStop, ID: 9},
		"OVERLOAD_REPLY 3 9 250000 1": {Kind: admission.ActionReject, ID: 9, RetryAfter: 250 * time.Millisecond, NoRetryElsewhere: true},
		"LOSE 3 9":                    {Kind: admission.ActionFail, ID: 9},
		"ASK_BELOW 3 9 80000":         {Kind: admission.ActionCall, ID: 9, Timeout: 80 * time.Millisecond},
		"SKIP 3 9":                    {Kind: admission.ActionSkipCall, ID: 9},
		"KEEP 3 9 8000000":            {Kind: admission.ActionRemember, ID: 9, Duration: 8 * time.Second},
		"EVICT 3 9":                   {Kind: admission.ActionForget, ID: 9},
		"ANSWER_FROM 3 9":             {Kind: admission.ActionReuse, ID: 9},
		"HEALTH 3 0 1":                {Kind: admission.ActionHealth, Cached: true},
		"SAY 3 0.25":                  {Kind: admission.ActionAdvertise, Value: 0.25},
		"IDLE_LIMIT 3 2000000":        {Kind: admission.ActionIdleTimeout, Duration: 2 * time.Second},
		"WAKE_ME 3 8912251 w":         {Kind: admission.ActionWake, At: 8912250*microsecond + 1},
		"REMARK 3 two servers":        {Kind: admission.ActionLog, Text: "two\nservers"},
	} {
		if got := string(AppendAction(nil, 3, action)); got != want+"\n" {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if got := string(AppendBroken(nil, 5, errors.New("bad\nthing"))); got != "BROKEN 5 bad thing\n" {
		t.Errorf("got %q", got)
	}
}

func TestReadErrorsNameLineAndField(t *testing.T) {
	for input, want := range map[string]string{
		"HELLO\n":                                     "line 1",
		"SYNC x\nOVER_TO_YOU\n":                       "clock",
		"SYNC 1\nDROPPED 3\nOVER_TO_YOU\n":            "line 2: DROPPED: field Xid",
		"SYNC 1\nDONE 3 4 FINE 5\nOVER_TO_YOU\n":      "field Disposition",
		"SYNC 1\nDROPPED 3 4 5\nOVER_TO_YOU\n":        "more fields",
		"SYNC 1\nJUMP 3\nOVER_TO_YOU\n":               `unknown event "JUMP"`,
		"SYNC 1\nELAPSED 3 w core_use\nOVER_TO_YOU\n": "field Feedback",
		"SYNC 1\nDROPPED 3 4\n":                       "ends within a batch",
		"SYNC 1\nDROPPED 3":                           "cut short",
	} {
		var batch Batch
		err := NewReader(strings.NewReader(input)).Read(&batch)
		if err == nil || errors.Is(err, io.EOF) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want %q", input, err, want)
		}
	}
	var batch Batch
	if err := NewReader(strings.NewReader("")).Read(&batch); !errors.Is(err, io.EOF) {
		t.Errorf("end of input between batches: %v", err)
	}
}

const sampleSettings = `{"Azs": ["a"], "FleetSize": 11, "TickUs": 5000, "Surprise": {"x": 1},
 "FamilyInfo": {"Advert": "credit", "Below": "shared", "Blowup": 4.0, "CallsByClass": [true, false], "CallsOut": 5.9,
 "CallsOverUs": 5000000, "ClassSkipWorth": [0.0, 0.5], "Cpus": 6, "Halt": "drop", "KbPerKey": 19.5, "MemoryKb": 9150.0},
 "Invariants": {"ColdShare": 0.21, "ColdUs": 18000000, "FallMultiple": 6.0, "FallUs": 1500000},
 "Lanes": [{"AimUs": 4300000, "DeadlineUs": 11000000, "Idempotency": "safe", "Name": "NAME", "Value": 1.0},
 {"AimUs": 2100000, "DeadlineUs": 5400000, "Idempotency": "keyed", "KeyTtlUs": 16101000, "Name": "reserve", "Value": 3}],
 "Tenants": [{"Name": "NAME", "Portion": 0.57, "QuotaPerS": 158.0}]}`

func TestParseSettings(t *testing.T) {
	settings, err := ParseSettings([]byte(sampleSettings))
	if err != nil {
		t.Fatal(err)
	}
	if settings.Cores != 6 || settings.Advert != admission.AdvertCredit || settings.Halt != admission.HaltDrop || !settings.Classes[0].CallsDependency ||
		settings.Classes[1].CallsDependency || settings.Classes[1].DegradedValueRatio != 0.5 || settings.Classes[1].IdempotencyWindow != 16101*time.Millisecond ||
		settings.Tenants[0].QuotaPerSecond != 158 || settings.SendsDeadlines {
		t.Errorf("read %+v", settings)
	}
	renamed, err := ParseSettings([]byte(strings.ReplaceAll(sampleSettings, "NAME", "other")))
	if err != nil || !reflect.DeepEqual(settings, renamed) {
		t.Error("names of classes and tenants change the settings")
	}
	for _, replacement := range [][2]string{{`"drop"`, `"maybe"`}, {"[true, false]", "[true]"}, {"[0.0, 0.5]", "[0.1, 0.2, 0.3]"},
		{"11,", `"x",`}} {
		if _, err := ParseSettings([]byte(strings.Replace(sampleSettings, replacement[0], replacement[1], 1))); err == nil {
			t.Errorf("%s in place of %s: no error", replacement[1], replacement[0])
		}
	}
}

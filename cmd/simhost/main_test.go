package main

import (
	"bytes"
	"strings"
	"testing"
)

const sampleSettings = `{"FleetSize": 3, "TickUs": 1000, "FamilyInfo": {"Cpus": 2, "MemoryKb": 1000, "Blowup": 4},
 "Invariants": {"FallMultiple": 4}, "Lanes": [{"AimUs": 900000, "DeadlineUs": 2000000}]}`

func converse(input string) (string, error) {
	var out bytes.Buffer
	err := serve(strings.NewReader(input), &out)
	return out.String(), err
}

func createLine(node, text string) string {
	return "CREATE " + node + " 7 " + strings.ReplaceAll(text, "\n", "") + "\n"
}

func TestRetiredIncarnationIsDiscarded(t *testing.T) {
	out, err := converse("SYNC 5\nOVER_TO_YOU\nSYNC 10\n" + createLine("3", sampleSettings) +
		"OVER_TO_YOU\nSYNC 20\nORDER 3 9 0 5 0 1000 - 0 0 0 0 0 0 0\nOVER_TO_YOU\nSYNC 30\nRETIRE 3\n" + createLine("3", sampleSettings) +
		"OVER_TO_YOU\nSYNC 40\nDONE 3 9 OK 5\nOVER_TO_YOU\n")
	if err != nil {
		t.Fatal(err)
	}
	if replies := strings.Count(out, "FINISHED\n"); replies != 5 || !strings.Contains(out, "SERVE 3 9\n") || strings.Count(out, "HEALTH 3 1 1") != 2 {
		t.Errorf("%d replies: %s", replies, out)
	}
}

func TestBadSettingsBreakOnlyThatInstance(t *testing.T) {
	out, err := converse("SYNC 1\n" + createLine("3", strings.Replace(sampleSettings, `"Cpus": 2`, `"Cpus": 0`, 1)) + createLine("4", sampleSettings) +
		"OVER_TO_YOU\nSYNC 2\nDROPPED 3 1\nOVER_TO_YOU\n")
	if err != nil || !strings.Contains(out, "BROKEN 3 settings: Cores") || !strings.Contains(out, "HEALTH 4") {
		t.Errorf("error %v, out %s", err, out)
	}
}

func TestUnknownInstance(t *testing.T) {
	if _, err := converse("SYNC 1\nDROPPED 3 1\nOVER_TO_YOU\n"); err == nil || !strings.Contains(err.Error(), "line 2: field NodeId") {
		t.Errorf("error %v", err)
	}
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"falldeal/internal/fleet"
	"falldeal/lab/commandtest"
	"falldeal/lab/golden"

	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) { commandtest.Main(m, main) }

const (
	sampleConfig         = "../../internal/config/testdata/config.json"
	minimalOperatorsFile = "[fleet]\nlisten = \"127.0.0.1:7946\"\nregion = \"belgium\"\nzone = \"mechelen\"\n"
)

var timeOfLine = regexp.MustCompile(`time="[^"]*"`)

// Compares help, flags, exit codes and messages of each command with a golden file, so that none changes unnoticed.
func TestGoldenCommands(t *testing.T) {
	dir := t.TempDir()
	text, err := os.ReadFile(sampleConfig)
	require.NoError(t, err)
	for name, content := range map[string]string{
		"good.json":  string(text),
		"bad.json":   strings.Replace(string(text), `"Cpus": 6`, `"Cpus": -6`, 1),
		"none.toml":  "",
		"good.toml":  minimalOperatorsFile + "seeds = [\"127.0.0.2:7946\"]\n",
		"bad.toml":   minimalOperatorsFile + "size = 0\n",
		"drill.toml": minimalOperatorsFile + "[drill]\nclock = \"-2s\"\nwedge = \"1s\"\n",
		"trace.toml": minimalOperatorsFile + "[trace]\nfile = \"absent/spans\"\n",
	} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600))
	}
	var got strings.Builder
	for _, args := range []string{
		"",
		"--help",
		"check --help",
		"serve --help",
		"fetch",
		"fetch --config good.json --operators none.toml",
		"check --port 5",
		"check --log-level loud",
		"check",
		"check --config",
		"check --config absent.json --operators good.toml",
		"check --config bad.json --operators good.toml",
		"check --config good.json",
		"check --config good.json --operators absent.toml",
		"check --config good.json --operators bad.toml",
		"check --config good.json --operators none.toml",
		"check --config good.json --operators good.toml",
		"check --config good.json --operators drill.toml",
		"check --config good.json --operators trace.toml",
		"serve --config absent.json --operators good.toml",
		"serve --config good.json --operators bad.toml",
		"serve --config good.json --operators trace.toml",
		"fleet",
		"fleet --help",
		"fleet members --help",
		"fleet shares",
		"fleet members status",
		"fleet members --port 5",
		"fleet members --console",
		"fleet members",
		"fleet status",
		"fleet members --console 127.0.0.1:1",
		"fleet members --console a\x7fb",
	} {
		output := timeOfLine.ReplaceAllString(commandtest.Run(t, dir, nil, "", strings.Fields(args)...), `time="(time)"`)
		output = strings.ReplaceAll(output, dir, "(folder)")
		fmt.Fprintf(&got, "== falldeal-fleet %q\n%s\n", args, output)
	}
	golden.RequireText(t, "commands", got.String())
}

// reports returns fleet reports by the name of their console in the golden file.
func reports() map[string]fleet.Report {
	whole := fleet.Report{
		Self: "n3", Position: "whole", LastReceivedMs: 250, PublishIntervalMs: 1000, FreshMs: 5000,
		Members: []fleet.MemberReport{
			{Name: "n3", Process: "n3/0000000000000007", Zone: "mechelen", Region: "belgium", Condition: "serving",
				ReportedState: "serving", SinceMs: 61500, Version: "1.2.3", Config: "0123456789abcdef", Cores: 6,
				Utilization: 0.5, InFlight: 12, UnservedRatio: 0.25, Self: true},
			{Name: "n4", Zone: "zaventem", Region: "belgium", Condition: "cut off", ReportedState: "warming", AgeMs: 3120,
				SinceMs: 900, Version: "dev", Config: "01", Cores: 2.5, Utilization: -1, StoreState: 1},
			{Name: "n5", Zone: "zaventem", Region: "belgium", Condition: "serving", ReportedState: "serving", AgeMs: 40,
				StoreState: 2, ProbeRound: 7},
			{Name: "n6", Zone: "zaventem", Region: "belgium", Condition: "serving", ReportedState: "serving", AgeMs: 50,
				StoreState: 3},
		},
		Zones: []fleet.ZoneReport{
			{Region: "belgium", Zone: "mechelen", Known: 1, Alive: 1},
			{Region: "belgium", Zone: "zaventem", Known: 21, Alive: 1, Suspect: 2, Stalled: 3, Unreachable: 4, Failed: 5, Left: 6,
				Unconfirmed: 7, MostlyUnreachable: true},
		},
		Total: fleet.ZoneReport{Known: 22, Alive: 2, Suspect: 2, Stalled: 3, Unreachable: 4, Failed: 5, Left: 6, Unconfirmed: 7},
		Fresh: fleet.AggregateReport{Members: 2, Stale: 1, Cores: 8.5, CoresInUse: 3, InFlight: 12, OldestMs: 1100},
	}
	full := whole
	full.Position = "torn"
	full.Fresh.ServiceRate, full.Fresh.Attempts, full.Fresh.RetryRatio = 7.5, 120, 0.125
	full.Fresh.MinThreshold, full.Fresh.MaxThreshold = 11.5, 12.5
	full.Fresh.CallQuota, full.Fresh.MeanCalls = 11.8, 4.25
	room := whole
	room.Fresh.ServiceRate, room.Fresh.Attempts = 7.5, 12
	alone := fleet.Report{Self: "n3", Position: "alone", LastReceivedMs: -1}
	return map[string]fleet.Report{"whole": whole, "full": full, "room": room, "alone": alone}
}

// Compares what is printed for each kind of console response with a golden file.
func TestGoldenQueryOutput(t *testing.T) {
	consoles := map[string]http.HandlerFunc{
		"in no fleet": http.NotFound,
		"busy":        func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"no JSON":     func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("word")) },
	}
	for name, report := range reports() {
		body, err := json.Marshal(report)
		require.NoError(t, err)
		consoles[name] = func(w http.ResponseWriter, r *http.Request) {
			if r.Method+" "+r.URL.Path != "GET /fleet" {
				w.WriteHeader(http.StatusBadRequest)
			}
			_, _ = w.Write(append(body, '\n'))
		}
	}
	var got strings.Builder
	for _, console := range []string{"whole", "full", "room", "alone", "in no fleet", "busy", "no JSON"} {
		server := httptest.NewServer(consoles[console])
		t.Cleanup(server.Close)
		addr := server.Listener.Addr().String()
		for _, args := range []string{"fleet members", "fleet status", "fleet members --json", "fleet status --check"} {
			var out bytes.Buffer
			err := run(append(strings.Fields(args), "--console", addr), &out)
			output := fmt.Sprintf("%s-- error\n%v\n", &out, err)
			fmt.Fprintf(&got, "== %s: %s\n%s\n", console, args, strings.ReplaceAll(output, addr, "(address)"))
		}
	}
	golden.RequireText(t, "answers", got.String())
}

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"falldeal/lab/commandtest"
	"falldeal/lab/golden"
	"falldeal/lab/history"

	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) { commandtest.Main(m, main) }

// sampleHistory returns a history with a served and a rejected request and a fault that starts and ends.
func sampleHistory() []history.Event {
	const served = 1300 * time.Millisecond
	return []history.Event{
		{At: 0, Kind: history.ProcessChanged, Server: "n1", Detail: "started"},
		{At: time.Second, Kind: history.AttemptSent, Server: "n1", AttemptID: "a1", Class: "preview", Client: 1,
			Deadline: 5 * time.Second},
		{At: 1100 * time.Millisecond, Kind: history.RunStarted, Server: "n1", AttemptID: "a1", Class: "preview"},
		{At: 1200 * time.Millisecond, Kind: history.RunEnded, Server: "n1", AttemptID: "a1", Detail: "ok"},
		{At: served, Kind: history.AttemptAnswered, Server: "n1", AttemptID: "a1", Detail: "served", Client: 1},
		{At: served, Kind: history.RequestCompleted, Class: "preview", Client: 1, Detail: "served", Count: 1,
			Latency: 300 * time.Millisecond, Value: 1, ValueServed: 1},
		{At: 2 * time.Second, Kind: history.FaultChanged, Detail: "cut zone:mechelen *", Count: 1},
		{At: 3 * time.Second, Kind: history.ViewChanged, Server: "n1", Member: "n2", Detail: "suspect"},
		{At: 4 * time.Second, Kind: history.ViewChanged, Server: "n3", Member: "n2", Detail: "suspect"},
		{At: 5 * time.Second, Kind: history.FaultChanged, Detail: "cut zone:mechelen *"},
		{At: 6 * time.Second, Kind: history.ProcessChanged, Server: "n2", Detail: "failed"},
		{At: 7 * time.Second, Kind: history.RequestCompleted, Class: "licence-order", Client: 1, Detail: "refused", Count: 3,
			Latency: 700 * time.Millisecond, Value: 3},
	}
}

// violatingEvents returns events that violate every rule: a second answer, a late answer, a lost answer, an order
// that runs twice, and a live member that is reported as failed.
func violatingEvents() []history.Event {
	const sent, deadline = 8 * time.Second, 9 * time.Second
	order := func(attempt string) history.Event {
		return history.Event{At: sent, Kind: history.AttemptSent, Server: "n1", AttemptID: attempt, IdempotencyKey: "o1",
			Class: "licence-order", Client: 1, Deadline: deadline}
	}
	return []history.Event{
		{At: sent, Kind: history.AttemptAnswered, Server: "n1", AttemptID: "a1", Detail: "served", Client: 1},
		order("a2"),
		order("a3"),
		{At: 8100 * time.Millisecond, Kind: history.RunStarted, Server: "n1", AttemptID: "a2"},
		{At: 8200 * time.Millisecond, Kind: history.RunStarted, Server: "n1", AttemptID: "a3"},
		{At: 8300 * time.Millisecond, Kind: history.AttemptAnswered, Server: "n1", AttemptID: "a2", Detail: "lost",
			Client: 1},
		{At: 10 * time.Second, Kind: history.AttemptAnswered, Server: "n1", AttemptID: "a3", Detail: "served", Client: 1},
		{At: 11 * time.Second, Kind: history.ViewChanged, Server: "n3", Member: "n1", Detail: "dead"},
	}
}

// Compares help, flags, exit codes and messages of every command that starts no fleet with a golden file, so that
// none changes unnoticed.
func TestGoldenCommands(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, history.Write(filepath.Join(dir, "day.jsonl"), sampleHistory()))
	violating := append(sampleHistory(), violatingEvents()...)
	require.NoError(t, history.Write(filepath.Join(dir, "broken.jsonl"), violating))
	for name, content := range map[string]string{
		"word.jsonl":  "word\n",
		"empty.jsonl": "",
		"script.toml": "[[fault]]\nkind = \"cut\"\nwho = \"n99\"\n",
		"key.toml":    "speed = 5\n",
	} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600))
	}
	fleet := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "who: no member matches \"n99\"", http.StatusBadRequest)
	}))
	t.Cleanup(fleet.Close)
	addr := fleet.Listener.Addr().String()
	varying := strings.NewReplacer(addr, "(address)", dir, "(folder)")
	var got strings.Builder
	for _, args := range []string{
		"",
		"--help",
		"fleet --help",
		"model --help",
		"fetch",
		"check",
		"check day.jsonl broken.jsonl",
		"fleet --speed 5",
		"fleet --members many",
		"fleet --members 0",
		"fleet --members 601",
		"fleet --members 601 --detect 1",
		"fleet --members 601 --compare 1",
		"fleet --compare 1 --with luck",
		"fleet --for long",
		"fleet --heed some",
		"fleet --script absent.toml",
		"fleet --script script.toml",
		"fleet --script key.toml",
		"model --members 0",
		"model --members 10001",
		"model --kind cut",
		"fault",
		"fault --lab 127.0.0.1:1 --kind cut --who n1",
		"fault --lab " + addr + " --kind cut --who n99",
		"check absent.jsonl",
		"check word.jsonl",
		"check empty.jsonl",
		"check day.jsonl",
		"check broken.jsonl",
	} {
		fmt.Fprintf(&got, "== falldeal-lab %s\n%s\n", args, commandtest.Run(t, dir, nil, "", strings.Fields(args)...))
	}
	golden.RequireText(t, "commands", varying.Replace(got.String()))
}

// Compares the request that the command fault sends to a running fleet with a golden file.
func TestGoldenFaultRequest(t *testing.T) {
	var got bytes.Buffer
	fleet := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(&got, "%s %s\n%s\n", r.Method, r.URL.Path, r.Header.Get("Content-Type"))
		_, _ = got.ReadFrom(r.Body)
	}))
	defer fleet.Close()
	args := "fault --kind loss --who n1 --to zone:mechelen --one-way --share 0.5 --delay 1s --jitter 2s --rate 100 " +
		"--for 5s --lab " + fleet.Listener.Addr().String()
	require.NoError(t, run(t.Context(), strings.Fields(args), &bytes.Buffer{}))
	golden.RequireText(t, "fault", got.String()+"\n")
}

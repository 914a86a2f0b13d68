// Package peers has the stand-ins of the second review: front ends, the render farm agent, the store, the announce
// service and the platform that starts image servers. They behave as the protocol page says, and do wrong only what a
// case asks of them. All of them listen on loopback.
package peers

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the log of a play: what was sent, answered and run, one line an event.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path) //nolint:gosec // the case names the file
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends the record.
func (r *Record) Close() { _ = r.file.Close() }

// Class is a class of requests in the settings.
type Class struct {
	Name        string
	Idempotency string        // safe, keyed or unsafe
	Aim         time.Duration // AimUs
	Deadline    time.Duration // DeadlineUs
	Window      time.Duration // KeyTtlUs
	Calls       bool
	SkipWorth   float64
	LateWorth   float64
}

// Settings are the settings of a small deployment, with what cases change of them.
type Settings struct {
	Classes    []Class
	Cores      int
	StopMS     int
	DrainGrace time.Duration
	Cold       bool
	MemoryMB   int
	Sockets    int
	CallsOut   float64
}

// StandardSettings are those of the users' example: three classes, six cores.
func StandardSettings() Settings {
	const aim = 1900 * time.Millisecond
	return Settings{
		Classes: []Class{
			{Name: "preview", Idempotency: "safe", Aim: aim, Deadline: 7 * time.Second, Window: 5 * time.Second,
				Calls: true, SkipWorth: 0.6, LateWorth: 0.2},
			{Name: "hires-crop", Idempotency: "safe", Aim: aim, Deadline: 5800 * time.Millisecond,
				Window: 5 * time.Second, LateWorth: 0.2},
			{Name: "licence-order", Idempotency: "keyed", Aim: aim, Deadline: 5800 * time.Millisecond,
				Window: 17457 * time.Millisecond, Calls: true},
		},
		Cores:      6,
		StopMS:     3200,
		DrainGrace: 2500 * time.Millisecond,
		MemoryMB:   192,
		Sockets:    1024,
		CallsOut:   5.9,
	}
}

// Addresses are where an image server finds its peers and listens.
type Addresses struct{ Name, Listen, Agent, Store, Announce, Console string }

type object = map[string]any

// Config returns the configuration file of an image server.
func (s *Settings) Config(at Addresses) ([]byte, error) {
	config := object{
		"name": at.Name, "listen": at.Listen, "agent": at.Agent, "store": at.Store, "announce": at.Announce,
		"seed": "8c1f30d27a5be964", "stop_ms": s.StopMS,
		"limits":   object{"cores": 1.0, "memory_mb": s.MemoryMB, "sockets": s.Sockets},
		"settings": s.settings(),
	}
	if at.Console != "" {
		config["console"] = at.Console
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return text, nil
}

func (s *Settings) settings() object {
	var lanes []object
	var calls []bool
	var skips []float64
	for _, class := range s.Classes {
		lanes = append(lanes, object{
			"Name": class.Name, "Idempotency": class.Idempotency, "AimUs": class.Aim.Microseconds(),
			"DeadlineUs": class.Deadline.Microseconds(), "KeyTtlUs": class.Window.Microseconds(),
			"LateWorth": class.LateWorth, "Value": 1.0,
		})
		calls = append(calls, class.Calls)
		skips = append(skips, class.SkipWorth)
	}
	return object{
		"FleetSize": 1, "TickUs": 5000, "OverShareWorth": 0.1, "ValueBy": "work",
		"ClientHabits": object{"MarksRetry": false},
		"FamilyInfo": object{
			"Advert": "off", "Below": "shared", "Blowup": 16.0, "CallsByClass": calls, "CallsOut": s.CallsOut,
			"CallsOverUs": 5000000, "ClassSkipWorth": skips, "ClientsTotal": 3, "Cold": s.Cold, "Cpus": s.Cores,
			"FreshForUs": 0, "Gauges": []string{"core_use", "on_cores", "heap_share", "links"}, "Halt": "off",
			"IdleUs": 30000000, "KbPerKey": 73.43, "ListFollows": true, "MemoryKb": 43152.0,
			"PassesDeadline": true, "StaysForUs": 200000, "TellsGone": true,
		},
		"Invariants": object{
			"ColdShare": 0.25, "ColdUs": 18000000, "FallMultiple": 5.0, "FallUs": 3000000,
			"GraceToAnswerUs": 100000, "StopSendingWithinUs": s.DrainGrace.Microseconds(),
		},
		"Lanes":     lanes,
		"Limits":    object{"MaxRetryAfterUs": 1000000, "RetryAfter": true},
		"ResultMix": object{"Whole": 0.45, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.35},
		"Tenants":   []object{},
	}
}

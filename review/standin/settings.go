package standin

import (
	"encoding/json"
	"time"
)

// Class is a class of requests.
type Class struct {
	Name     string
	Effect   string // safe, keyed or unsafe
	Aim      time.Duration
	Deadline time.Duration
	Window   time.Duration
	Value    float64
	Late     float64 // LateWorth
	Calls    bool
	Skip     float64 // worth without the call
}

// Config is what the configuration of an image server says. What it does not name is as in the example of the wire page.
type Config struct {
	Name, Listen, Agent, Announce, Store string
	Servers                              int // FleetSize
	Fronts                               int
	Cores                                int
	MemoryKB                             float64
	RunFactor                            float64
	KeyKB                                float64 // KbPerKey
	FallMultiple                         float64
	CallsOut                             float64
	Sockets                              int
	MemoryMB                             int
	Classes                              []Class
}

// Beeldkluis returns the classes of beeldkluis-prod.
func Beeldkluis() []Class {
	const aim = 1900 * time.Millisecond
	const deadline = 5800 * time.Millisecond
	return []Class{
		{Name: "preview", Effect: "safe", Aim: aim, Deadline: 7 * time.Second, Window: 5 * time.Second, Value: 1, Late: 0.2,
			Calls: true, Skip: 0.6},
		{Name: "hires-crop", Effect: "safe", Aim: aim, Deadline: deadline, Window: 5 * time.Second, Value: 2, Late: 0.2},
		{Name: "licence-order", Effect: "keyed", Aim: aim, Deadline: deadline, Window: 17457 * time.Millisecond, Value: 3,
			Calls: true},
	}
}

// object is an object of JSON.
type object map[string]any

// JSON returns the text of the configuration.
func (c *Config) JSON() string {
	text, err := json.MarshalIndent(object{
		"name": c.Name, "listen": c.Listen, "agent": c.Agent, "announce": c.Announce, "store": c.Store,
		"seed": "8c1f30d27a5be964", "stop_ms": 3200,
		"limits":   object{"cores": 1.0, "memory_mb": c.MemoryMB, "sockets": c.Sockets},
		"settings": c.settings(),
	}, "", " ")
	Must(err)
	return string(text)
}

func (c *Config) settings() object {
	lanes := []object{}
	calls := []bool{}
	skips := []float64{}
	for _, class := range c.Classes {
		lanes = append(lanes, object{
			"AimUs": class.Aim.Microseconds(), "DeadlineUs": class.Deadline.Microseconds(), "Idempotency": class.Effect,
			"KeyTtlUs": class.Window.Microseconds(), "LateWorth": class.Late, "Name": class.Name, "Value": class.Value,
		})
		calls = append(calls, class.Calls)
		skips = append(skips, class.Skip)
	}
	return object{
		"FleetSize": c.Servers, "TickUs": 5000, "OverShareWorth": 0.1, "ValueBy": "work",
		"ClientHabits": object{"MarksRetry": false},
		"FamilyInfo": object{
			"Advert": "off", "Below": "shared", "Blowup": c.RunFactor, "CallsByClass": calls, "CallsOut": c.CallsOut,
			"CallsOverUs": 5000000, "ClassSkipWorth": skips, "ClientsTotal": c.Fronts, "Cold": false, "Cpus": c.Cores,
			"DeepChecks": true, "FreshForUs": 0, "Gauges": []string{"core_use", "on_cores", "heap_share", "links"},
			"Halt": "off", "IdleUs": 30000000, "KbPerKey": c.KeyKB, "ListFollows": true, "MemoryKb": c.MemoryKB,
			"PassesDeadline": true, "SaidForUs": 1000000, "StaysForUs": 200000, "TellsGone": true,
		},
		"Invariants": object{
			"ColdShare": 0.25, "ColdUs": 18000000, "FallMultiple": c.FallMultiple, "FallUs": 3000000,
			"GraceToAnswerUs": 100000, "StopSendingWithinUs": 2500000,
		},
		"Lanes":     lanes,
		"Limits":    object{"CpuUsPerRequest": 0, "CpuUsPerS": 62155, "MaxRetryAfterUs": 1000000, "RetryAfter": true},
		"ResultMix": object{"Whole": 0.45, "WorstClass": 0.2, "WorstTenant": 0, "WorstWindow": 0.35},
		"Tenants":   []object{},
	}
}

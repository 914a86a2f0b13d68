package model

import (
	"time"

	"falldeal/admission"
	"falldeal/lab/clients"
)

const (
	answerGrace              = 100 * time.Millisecond   // after a deadline, for an answer that is in transit
	defaultIdempotencyWindow = 5 * time.Second          // of classes without idempotency keys; the settings require one
	idempotencyWindowByKey   = 17457 * time.Millisecond // as package fleetlab configures for real servers
)

// admissionSettings returns the settings of the controllers, which are the same for all servers.
func admissionSettings(opts *Options) admission.Settings {
	settings := admission.Settings{
		Cores: opts.Cores, FleetSize: opts.Servers, Clients: opts.FrontEnds,
		MemoryKB: 60000, RunningMemoryFactor: 8, KeyMemoryKB: 4,
		Dependency: admission.DependencyShared, MaxCallsInFlight: opts.SlotsPerServer,
		CallsWindow: 5 * time.Second, AbandonedCallTime: 200 * time.Millisecond,
		SlowStartSpeedRatio: 0.25, SlowStartTime: opts.WarmupTime,
		MaxConcurrencyPerCore: 5, ConcurrencyWindow: 3 * time.Second,
		AnswerGrace: answerGrace, DrainGrace: 2500 * time.Millisecond, IdleTimeout: 30 * time.Second,
		MaxRetryAfter: time.Second, SendsRetryAfter: true, Tick: 5 * time.Millisecond, ExcessValueRatio: 0.1,
	}
	for i := range opts.Classes {
		settings.Classes = append(settings.Classes, admissionClass(&opts.Classes[i]))
	}
	return settings
}

func admissionClass(class *clients.Class) admission.Class {
	settings := admission.Class{
		LatencyObjective: class.LatencyObjective, Deadline: class.Timeout, PriorityWeight: class.Value,
		CallsDependency: class.Name != classWithoutCalls, IdempotencyWindow: defaultIdempotencyWindow,
	}
	if class.IdempotentByKey {
		settings.Idempotency = admission.IdempotentByKey
		settings.IdempotencyWindow = idempotencyWindowByKey
	}
	if class.DegradedValueRatio > 0 {
		settings.DegradedValueRatio = class.DegradedValueRatio
	}
	return settings
}

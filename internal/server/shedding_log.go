package server

import (
	"falldeal/internal/overload"

	"github.com/sirupsen/logrus"
)

// States of load shedding as operators see them. That nothing is shed is the usual state, which has no name.
const (
	sheddingUnknown    = "unknown"    // too little is known of the fleet
	sheddingFull       = "full"       // more is offered than the fleet has capacity for
	sheddingDecreasing = "decreasing" // it has capacity again, and the threshold decreases step by step
)

// sheddingStateName returns the name of a state, "" for the usual one.
func sheddingStateName(state *overload.SheddingState) string {
	switch {
	case !state.Known:
		return sheddingUnknown
	case state.Full:
		return sheddingFull
	case state.Threshold > 0:
		return sheddingDecreasing
	}
	return ""
}

// logSheddingState logs a state of load shedding if its name has changed. A fleet without spare capacity is to be looked
// at, the other states need nothing.
func (s *Server) logSheddingState(shedding *loadShedding, state *overload.SheddingState) {
	from := sheddingStateName(&shedding.logged)
	to := sheddingStateName(state)
	if from == to {
		return
	}
	level := logrus.InfoLevel
	if to == sheddingFull {
		level = logrus.WarnLevel
	}
	s.recordChange(level, StateChange{
		Name: "shedding threshold",
		From: from,
		To:   to,
		Fields: logrus.Fields{
			"threshold":    state.Threshold,
			"offered":      state.Offered,
			"service_rate": state.ServiceRate,
			"retry_ratio":  state.RetryRatio,
			"members":      state.Members,
			"stale":        state.Stale,
			"oldest_ms":    state.Oldest.Milliseconds(),
		},
	})
	shedding.logged = *state
}

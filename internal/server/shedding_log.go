package server

import (
	"falldeal/internal/overload"

	"github.com/sirupsen/logrus"
)

// States of load shedding in log lines. The usual state, in which nothing is shed, has no name.
const (
	sheddingUnknown    = "unknown"    // too little is known about the fleet
	sheddingFull       = "full"       // the offered load exceeds the capacity of the fleet
	sheddingDecreasing = "decreasing" // there is capacity again, and the threshold decreases step by step
)

// sheddingStateName returns the name of a state, which is "" for the usual one.
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

// logSheddingState logs the state of load shedding if its name has changed. A fleet without spare capacity is logged as a
// warning.
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
			"offered":      state.TotalDemand,
			"service_rate": state.ServiceRate,
			"retry_ratio":  state.RetryRatio,
			"members":      state.Members,
			"stale":        state.Stale,
			"oldest_ms":    state.OldestAge.Milliseconds(),
		},
	})
	shedding.logged = *state
}

package server

import (
	"strconv"
	"time"
)

const (
	deepCheckTimeout = 2 * time.Second // for the work that the agent does for a deep check
	maxDeepChecks    = 16              // deep checks in progress at the agent; further ones are answered without it
)

// healthCheck is a health check from a front end that waits for its answer.
type healthCheck struct {
	connection Connection
	callNumber uint32
}

// Health checks from front ends are answered with the last decision of the controller (admission.ActionHealth). They fail
// while requests wait too long to be read, during a drain without a successor, while an operator has deregistered the
// server, and before the agent is up.
//
// A deep check that the controller leaves open is answered after the agent has completed some work. At present none is
// left open: the controller always has them answered with its last decision (HealthAnswer.Cached).

// healthState is the state from which health checks are answered. The loop owns it.
type healthState struct {
	healthy      bool                   // last decision of the controller; false before the first one
	cached       bool                   // deep checks are answered with healthy, too
	deregistered bool                   // by an operator
	deepChecks   map[string]healthCheck // in progress at the agent, by token
	lastToken    uint64                 // number in the token that was issued last
}

func newHealthState() healthState { return healthState{deepChecks: map[string]healthCheck{}} }

// wantsDeepCheck reports whether a deep check must be passed on to the agent.
func (h *healthState) wantsDeepCheck() bool {
	return h.healthy && !h.cached && len(h.deepChecks) < maxDeepChecks
}

// add records a deep check, and returns its token.
func (h *healthState) add(check healthCheck) string {
	h.lastToken++
	token := "x" + strconv.FormatUint(h.lastToken, 10)
	h.deepChecks[token] = check
	return token
}

// take returns the deep check with the given token, and removes it.
func (h *healthState) take(token string) (check healthCheck, ok bool) {
	check, ok = h.deepChecks[token]
	delete(h.deepChecks, token)
	return check, ok
}

// beginDeepCheck asks the agent to do some work, whose success answers the check.
func (s *Server) beginDeepCheck(check healthCheck) {
	token := s.health.add(check)
	s.stats.DeepChecks++
	s.deadlines.Add(s.clock.now+deepCheckTimeout, func() { s.completeDeepCheck(token, false) })
	if s.agent.DeepCheck(token) != nil {
		s.completeDeepCheck(token, false)
	}
}

// completeDeepCheck answers the deep check with the given token, unless it was answered before.
func (s *Server) completeDeepCheck(token string, ok bool) {
	if check, waits := s.health.take(token); waits {
		s.answerHealthCheck(check, ok && s.health.healthy)
	}
}

func (s *Server) answerHealthCheck(check healthCheck, healthy bool) {
	if s.connections.get(check.connection) == nil {
		return
	}
	kind := Unhealthy
	if healthy {
		kind = Healthy
	}
	check.connection.Answer(check.callNumber, Answer{Kind: kind})
}

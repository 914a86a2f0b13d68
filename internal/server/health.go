package server

import (
	"strconv"
	"time"
)

const (
	deepCheckTimeout = 2 * time.Second // for the agent's work of a deep health check
	maxDeepChecks    = 16              // deep health checks at work at once; further ones are answered without
)

// healthCheck is a health check of a front end that waits for its answer.
type healthCheck struct {
	connection Connection
	callNumber uint32
}

// Health checks of front ends are answered by what the controller has last decided (admission.ActionHealth): it answers
// badly while requests wait for too long to be read, during a drain without a successor, and while an operator has
// deregistered the server. Before the agent is up all checks fail.
//
// A deep check, where the controller leaves it open, makes the agent complete some work first. No check gets there today: the
// controller always has deep checks answered from its own state (HealthAnswer.Cached).

// healthState is what health checks are answered by. The loop owns it.
type healthState struct {
	healthy      bool                   // as the controller last decided; false before it has
	cached       bool                   // answer deep checks by that, too
	deregistered bool                   // by an operator
	deepChecks   map[string]healthCheck // at work at the agent, by token
	lastToken    uint64
}

func newHealthState() healthState { return healthState{deepChecks: map[string]healthCheck{}} }

// wantsDeepCheck reports whether a deep check is to be passed on to the agent.
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

// take returns the deep check of that token, once.
func (h *healthState) take(token string) (check healthCheck, ok bool) {
	check, ok = h.deepChecks[token]
	delete(h.deepChecks, token)
	return check, ok
}

// beginDeepCheck sends the agent work, whose success answers the check.
func (s *Server) beginDeepCheck(check healthCheck) {
	token := s.health.add(check)
	s.stats.DeepChecks++
	s.deadlines.Add(s.clock.now+deepCheckTimeout, func() { s.completeDeepCheck(token, false) })
	if s.agent.DeepCheck(token) != nil {
		s.completeDeepCheck(token, false)
	}
}

// completeDeepCheck answers the deep check of that token, unless that was done before.
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

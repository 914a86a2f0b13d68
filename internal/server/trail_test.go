package server

import (
	"testing"
	"time"

	"falldeal/admission"
	"falldeal/internal/agent"
	"falldeal/internal/store"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// A request is followed by its id: each image server that had a try of it says how it ended and where the time
// went. One whose caller has gone leaves its line too; nothing is said twice, and nothing at a lesser level.
func TestTrail(t *testing.T) {
	s, do := idle(t)
	log, hook := test.NewNullLogger()
	log.SetLevel(logrus.DebugLevel)
	s.log, s.trails = log, debugs(log)
	require.True(t, s.trails)
	s.greeted(agent.Notification{Kind: agent.Handshake, Result: agent.Steady})
	p := &peer{}
	s.ConnectionOpened(p)
	submit := func(call uint32, id, class string) *request {
		s.Submit(p, call, Attempt{ID: id, IdempotencyKey: id, Class: class, ArrivedAt: s.clock.now - 5*time.Millisecond, Timeout: 2 * time.Second, MemoryKB: 1})
		do()
		s.step()
		return s.byWire[id]
	}
	lines := func() (got []logrus.Fields) {
		for _, e := range hook.AllEntries() {
			if e.Message == "request" {
				got = append(got, e.Data)
			}
		}
		hook.Reset()
		return got
	}
	served := submit(1, "aa", "licence-order")
	s.wantsCall(agent.Notification{RequestID: "aa", Payload: []byte("x")})
	s.step()
	s.clock.now += 20 * time.Millisecond
	s.callEnded("aa", store.OK, nil)
	s.clock.now += 10 * time.Millisecond
	s.finish(served, admission.OutcomeOK, nil)
	s.gone(served)
	require.Equal(t, []logrus.Fields{{"id": "aa", "class": "licence-order", "from": 0, "end": "served", "after_ms": int64(35),
		"wait_ms": int64(2000), "cost_ms": int64(0), "once": "aa", "held_ms": int64(5), "run_ms": int64(30), "calls": 1,
		"in_call_ms": int64(20), "call": "ok"}}, lines())

	refused := submit(2, "bb", "preview")
	s.refuse(refused, admission.Action{Reason: admission.ReasonMemory})
	got := lines()
	require.Len(t, got, 1)
	require.Equal(t, "refused", got[0]["end"])
	require.Equal(t, "memory full", got[0]["why"])

	submit(3, "cc", "preview")
	s.ReadEnded(p, Disconnected)
	do()
	got = lines()
	require.Len(t, got, 1)
	require.Equal(t, "gone", got[0]["end"])

	quiet, _ := test.NewNullLogger()
	require.False(t, debugs(quiet))
}

package keyauthority

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testWindow = time.Second

// The end of the link must not count as the end of the process: two processes that had lost their link both ran every key.
func TestSuccessorRunsNothingWhilePredecessorLives(t *testing.T) {
	var authority Authority
	require.Equal(t, Run, authority.Decide())
	authority.PredecessorJoined()
	require.Equal(t, Claim, authority.Decide())
	authority.PredecessorLinkEnded(time.Second)
	require.Equal(t, Hold, authority.Decide())
	authority.Observe(time.Second+exitTime-1, true, testWindow)
	require.Equal(t, Hold, authority.Decide())
	authority.Observe(time.Second+exitTime, true, testWindow)
	require.Equal(t, Fail, authority.Decide())
	authority.Observe(time.Minute, true, testWindow)
	require.Equal(t, Fail, authority.Decide())
	authority.Observe(2*time.Minute, false, testWindow)
	require.Equal(t, Fail, authority.Decide())
	require.True(t, authority.Pending())
	authority.Observe(2*time.Minute+testWindow, false, testWindow)
	require.Equal(t, Run, authority.Decide())
	require.False(t, authority.Pending())
}

// A predecessor that exits, or has announced its end, must not keep keys from being run.
func TestSuccessorTakesOverFromPredecessorThatEnds(t *testing.T) {
	for name, end := range map[string]func(*Authority){
		"announced": func(a *Authority) {
			a.PredecessorFinished()
			a.PredecessorLinkEnded(0)
			a.Observe(0, true, testWindow)
		},
		"exited": func(a *Authority) {
			a.PredecessorLinkEnded(0)
			a.Observe(exitTime/2, false, testWindow)
		},
	} {
		t.Run(name, func(t *testing.T) {
			var authority Authority
			authority.PredecessorJoined()
			end(&authority)
			require.Equal(t, Run, authority.Decide())
		})
	}
}

// A successor that asks before it runs anything does not hold up its predecessor. One of an older version takes the end of the
// link for that of the predecessor, which must then run no key that it does not know.
func TestPredecessorGoesOnUnlessSuccessorRunsKeysUnasked(t *testing.T) {
	for _, asks := range []bool{true, false} {
		var authority Authority
		authority.SuccessorJoined()
		require.Equal(t, Run, authority.Decide())
		if asks {
			authority.SuccessorAsks()
		}
		authority.SuccessorLinkEnded(0)
		authority.Observe(exitTime, true, testWindow)
		require.True(t, authority.SuccessorAlive())
		if asks {
			require.Equal(t, Run, authority.Decide())
		} else {
			require.Equal(t, Fail, authority.Decide())
		}
		authority.Observe(2*exitTime, false, testWindow)
		authority.Observe(2*exitTime+testWindow, false, testWindow)
		require.False(t, authority.SuccessorAlive())
		require.Equal(t, Run, authority.Decide())
	}
}

// If the link ends before this process knew the keys of its predecessor, nothing may run until their windows have ended.
func TestUnreachablePredecessorMayHaveRunKeys(t *testing.T) {
	var authority Authority
	authority.PredecessorJoined()
	authority.PredecessorLinkEnded(0)
	authority.PredecessorUnreachable()
	authority.Observe(0, false, testWindow)
	require.Equal(t, Fail, authority.Decide())
	authority.Observe(testWindow, false, testWindow)
	require.Equal(t, Run, authority.Decide())
}

// modelProcess is a process of the model, with the keys that it knows: those that it has run or granted, or that were announced to it.
type modelProcess struct {
	Authority
	alive bool
	known map[int]time.Duration // end of the window, by key
}

func (p *modelProcess) knows(key int, now time.Duration) bool { return p.known[key] > now }

// model is a replacement with two processes of this version.
type model struct {
	*rapid.T
	now                    time.Duration
	predecessor, successor modelProcess
	linked                 bool
	lostAt                 time.Duration         // when the link ended while both processes ran
	ran                    map[int]time.Duration // end of the window of the last run, by key
}

// run runs a key, which must not have run within its window in any process.
func (m *model) run(at *modelProcess, key int) {
	require.LessOrEqual(m, m.ran[key], m.now, "key %d runs a second time within its window", key)
	m.ran[key] = m.now + testWindow
	at.known[key] = m.now + testWindow
	if m.linked {
		m.predecessor.known[key] = m.now + testWindow
		m.successor.known[key] = m.now + testWindow
	}
}

func (m *model) requestAtPredecessor(key int) {
	if m.predecessor.alive && m.predecessor.Decide() == Run && !m.predecessor.knows(key, m.now) {
		m.run(&m.predecessor, key)
	}
}

func (m *model) requestAtSuccessor(key int) {
	if m.successor.knows(key, m.now) {
		return
	}
	decision := m.successor.Decide()
	granted := decision == Claim && m.linked && !m.predecessor.knows(key, m.now)
	if decision == Run || granted {
		m.run(&m.successor, key)
	}
}

func (m *model) endLink() {
	if !m.linked {
		return
	}
	m.linked = false
	m.lostAt = m.now
	m.predecessor.SuccessorLinkEnded(m.now)
	m.successor.PredecessorLinkEnded(m.now)
	m.observe()
}

// exit ends the predecessor. A process whose link was lost before its end runs for longer than exitTime after that.
func (m *model) exit(announced bool) {
	if !m.predecessor.alive || !m.linked && m.now < m.lostAt+2*exitTime {
		return
	}
	m.predecessor.alive = false
	if m.linked {
		m.linked = false
		if announced {
			m.successor.PredecessorFinished()
		}
		m.successor.PredecessorLinkEnded(m.now)
	}
}

func (m *model) observe() {
	m.successor.Observe(m.now, m.predecessor.alive, testWindow)
	m.predecessor.Observe(m.now, true, testWindow)
}

func (m *model) advance(by time.Duration) {
	const interval = 50 * time.Millisecond
	for ; by > 0; by -= interval {
		m.now += min(by, interval)
		m.observe()
	}
}

// In any order of requests, ends of the link and exits, no key may run twice within its window, and in the end the successor
// must run every key.
func TestNoKeyRunsTwiceInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replacement := &model{T: t, linked: true, ran: map[int]time.Duration{}}
		replacement.predecessor = modelProcess{alive: true, known: map[int]time.Duration{}}
		replacement.successor = modelProcess{alive: true, known: map[int]time.Duration{}}
		replacement.predecessor.SuccessorJoined()
		replacement.predecessor.SuccessorAsks()
		replacement.successor.PredecessorJoined()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := rapid.IntRange(0, 3).Draw(t, "key")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				replacement.endLink()
			case 1:
				replacement.exit(rapid.Bool().Draw(t, "announced"))
			case 2, 3, 4:
				replacement.requestAtPredecessor(key)
			case 5, 6, 7:
				replacement.requestAtSuccessor(key)
			default:
				replacement.advance(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			}
		}
		replacement.advance(2 * exitTime)
		replacement.exit(false)
		replacement.advance(2*testWindow + 2*exitTime)
		require.Equal(t, Run, replacement.successor.Decide())
		replacement.requestAtSuccessor(0)
		require.Greater(t, replacement.ran[0], replacement.now)
	})
}

package clients

import (
	"fmt"
	"strconv"
	"time"

	"falldeal/lab/history"
)

// answerGrace is how long past the deadline a client still listens, so that a late answer is recorded as late.
const answerGrace = time.Second

// answer is how one attempt ended.
type answer struct {
	outcome    history.Outcome
	retryAfter time.Duration // that a rejection asks for; 0 = none
	noRetry    bool          // a rejection says that no server will accept the request
	degraded   bool          // served without the call
}

// attempt sends a request to one server and waits for its answer.
func (f *frontEnd) attempt(pending *request, target Server) answer {
	conn := f.dial(target)
	if conn == nil {
		return answer{outcome: history.OutcomeUnreachable}
	}
	pending.attempts++
	id := fmt.Sprintf("%016x", attemptIDs.Add(1))
	fields := f.fields(pending, id)
	f.log.Add(history.Event{
		Kind:           history.AttemptSent,
		AttemptID:      id,
		Class:          pending.class.Name,
		Server:         target.Name,
		Client:         f.number,
		Deadline:       pending.deadline(),
		IdempotencyKey: fields[fieldIdempotencyKey],
	})
	if f.workload.ReadRequest != nil {
		if read := f.workload.ReadRequest(target.Name); read != nil {
			if !f.awaitRead(read, pending.deadline()) {
				f.log.Add(history.Event{Kind: history.AttemptAbandoned, AttemptID: id, Server: target.Name, Detail: history.DetailUnread})
				return answer{outcome: history.OutcomeAbandoned}
			}
			conn = f.redial(target, conn)
		}
	}
	// The body tells the fake agent how much work the request is.
	answers, ok := conn.send(pending.class.Name, fields, []byte(strconv.FormatInt(int64(pending.work), 10)))
	if !ok {
		f.forget(target, conn)
		f.logAnswer(id, target, history.OutcomeLost)
		return answer{outcome: history.OutcomeLost}
	}
	if f.workload.AttemptCompleted != nil {
		defer f.workload.AttemptCompleted(target.Name, id)
	}
	return f.awaitAnswer(pending, target, conn, id, answers)
}

// Fields of a request by which its server tells repeated ones apart; see the protocol page.
const (
	fieldIdempotencyKey = "once"
	fieldSubject        = "key"
)

// fields are the named fields of a request on the wire.
func (f *frontEnd) fields(pending *request, id string) map[string]string {
	remaining := pending.deadline() - f.log.Now()
	fields := map[string]string{
		"id":   id,
		"from": strconv.Itoa(f.number),
		"kb":   "24.0",
		"rank": fmt.Sprintf("%.4f", pending.rank),
		"at":   strconv.FormatInt(time.Now().UnixMilli(), 10),
		"wait": strconv.FormatInt(max(remaining.Milliseconds(), 1), 10),
		"cost": strconv.FormatFloat(float64(pending.work)/float64(time.Millisecond), 'f', 2, 64),
	}
	if pending.class.IdempotentByKey {
		fields[fieldIdempotencyKey] = pending.idempotencyKey
	} else {
		fields[fieldSubject] = fmt.Sprintf("%016x", pending.key)
	}
	return fields
}

// awaitRead waits until the server has read a request, and reports whether it has by the deadline.
func (f *frontEnd) awaitRead(read <-chan struct{}, deadline time.Duration) bool {
	select {
	case <-read:
		return true
	case <-time.After(deadline - f.log.Now()):
		return false
	}
}

// redial returns a connection that is still open after a read: a server ends a connection on which nothing has come for
// 2 s, and one that warms up may take longer to read.
func (f *frontEnd) redial(target Server, previous *serverConn) *serverConn {
	if conn := f.dial(target); conn != nil {
		return conn
	}
	return previous
}

func (f *frontEnd) awaitAnswer(pending *request, target Server, conn *serverConn, id string, answers <-chan answer) answer {
	select {
	case reply, open := <-answers:
		if !open {
			f.forget(target, conn)
			reply = answer{outcome: history.OutcomeLost}
		}
		f.logAnswer(id, target, reply.outcome)
		return reply
	case <-time.After(pending.deadline() + answerGrace - f.log.Now()):
		f.log.Add(history.Event{Kind: history.AttemptAbandoned, AttemptID: id, Server: target.Name})
		return answer{outcome: history.OutcomeAbandoned}
	}
}

func (f *frontEnd) logAnswer(id string, target Server, outcome history.Outcome) {
	f.log.Add(history.Event{Kind: history.AttemptAnswered, AttemptID: id, Server: target.Name, Detail: string(outcome)})
}

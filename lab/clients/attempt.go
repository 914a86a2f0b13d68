package clients

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"falldeal/lab/frontrpc"
	"falldeal/lab/history"
)

// answerGrace is how long a client still waits after the deadline of a request, so that an answer after the deadline is
// recorded as late and its attempt not as abandoned.
const answerGrace = time.Second

// answer is the result of one attempt.
type answer struct {
	outcome    history.Outcome
	retryAfter time.Duration // requested by a rejection; 0 = none
	noRetry    bool          // the rejection asks not to retry at another server either
	degraded   bool          // served without the call to the store
}

// attempt sends a request to one server and waits for its answer.
func (f *frontEnd) attempt(pending *request, target Server) answer {
	conn := f.dial(target)
	if conn == nil {
		return answer{outcome: history.OutcomeUnreachable}
	}
	pending.attempts++
	message := f.message(pending)
	f.log.Add(history.Event{
		Kind:           history.AttemptSent,
		AttemptID:      message.ID,
		Class:          pending.class.Name,
		Server:         target.Name,
		Client:         f.number,
		Deadline:       pending.deadline(),
		IdempotencyKey: message.IdempotencyKey,
	})
	if read := f.startRead(target); read != nil {
		if !f.awaitRead(read, pending.deadline()) {
			f.logAbandoned(message.ID, target, history.DetailUnread)
			return answer{outcome: history.OutcomeAbandoned}
		}
		conn = f.redial(target, conn)
	}
	answers, err := conn.send(message)
	if err != nil {
		f.removeConn(target, conn)
		outcome := outcomeOfFailedSend(err)
		f.logAnswer(message.ID, target, outcome)
		return answer{outcome: outcome}
	}
	if f.workload.AttemptCompleted != nil {
		defer f.workload.AttemptCompleted(target.Name, message.ID)
	}
	return f.awaitAnswer(pending, target, conn, message.ID, answers)
}

// outcomeOfFailedSend returns the outcome of an attempt whose request could not be sent: nothing has run if another request of
// this front end has become the last one on the connection.
func outcomeOfFailedSend(err error) history.Outcome {
	if errors.Is(err, errNoCallsLeft) {
		return history.OutcomeUnreachable
	}
	return history.OutcomeLost
}

// requestMemoryKB is the memory demand that each request declares, in KB.
const requestMemoryKB = 24

// message returns the message of a new attempt. Its body is the work of the request in ns, which the fake agent plans
// the run with.
func (f *frontEnd) message(pending *request) *frontrpc.Request {
	remaining := pending.deadline() - f.log.Now()
	message := &frontrpc.Request{
		Class:    pending.class.Name,
		ID:       fmt.Sprintf("%016x", attemptIDs.Add(1)),
		Client:   f.number,
		MemoryKB: requestMemoryKB,
		Rank:     pending.rank,
		SentAt:   time.Now(),
		Timeout:  max(remaining, time.Millisecond),
		CostHint: pending.work,
		Body:     []byte(strconv.FormatInt(int64(pending.work), 10)),
	}
	if pending.class.IdempotentByKey {
		message.IdempotencyKey = pending.idempotencyKey
	} else {
		message.Subject = fmt.Sprintf("%016x", pending.key)
	}
	return message
}

// startRead makes a server begin to read a request. The returned channel is closed when the request has been read. It
// is nil if there is nothing to wait for.
func (f *frontEnd) startRead(target Server) <-chan struct{} {
	if f.workload.ReadRequest == nil {
		return nil
	}
	return f.workload.ReadRequest(target.Name)
}

// awaitRead waits until a server has read a request or the deadline has passed. It returns false in the latter case.
func (f *frontEnd) awaitRead(read <-chan struct{}, deadline time.Duration) bool {
	select {
	case <-read:
		return true
	case <-time.After(deadline - f.log.Now()):
		return false
	}
}

// redial returns a connection that is still open after a server has read a request. A server closes a new connection on
// which no message arrives within 2 s, and a server that is warming up may take longer than that to read. If the dial
// fails, redial returns previous.
func (f *frontEnd) redial(target Server, previous *serverConn) *serverConn {
	if conn := f.dial(target); conn != nil {
		return conn
	}
	return previous
}

// awaitAnswer waits for the answer to an attempt until answerGrace after the deadline of the request.
func (f *frontEnd) awaitAnswer(
	pending *request, target Server, conn *serverConn, id string, answers <-chan answer,
) answer {
	select {
	case reply, open := <-answers:
		if !open {
			f.removeConn(target, conn)
			reply = answer{outcome: history.OutcomeLost}
		}
		f.logAnswer(id, target, reply.outcome)
		return reply
	case <-time.After(pending.deadline() + answerGrace - f.log.Now()):
		f.logAbandoned(id, target, "")
		return answer{outcome: history.OutcomeAbandoned}
	}
}

func (f *frontEnd) logAbandoned(id string, target Server, detail string) {
	f.log.Add(history.Event{Kind: history.AttemptAbandoned, AttemptID: id, Server: target.Name, Detail: detail})
}

func (f *frontEnd) logAnswer(id string, target Server, outcome history.Outcome) {
	f.log.Add(history.Event{Kind: history.AttemptAnswered, AttemptID: id, Server: target.Name, Detail: string(outcome)})
}

package msgpackrpc

import (
	"fmt"
	"testing"
	"time"
)

// A request with an idempotency key arrives several times within its window. It must run once, and its result must answer
// every attempt.
func TestIdempotentRequestRunsOnce(t *testing.T) {
	peers := startServer(t)
	client := peers.dial()
	once := []string{"once", "ab12"}
	firstID, firstFrame := client.newRequest("licence-order", "order", once...)
	_, secondFrame := client.newRequest("licence-order", "order", once...)
	client.write(append(firstFrame, secondFrame...)) // the server may read both at once
	peers.expectCommand("launch", firstID)
	client.sendRequest("licence-order", "order", once...) // during the run
	peers.expectNoCommand()
	peers.agentSends("outcome", firstID, "success", []byte("done"))
	client.expectAnswer(1, "done")
	client.expectAnswer(2, "done")
	client.expectAnswer(3, "done")
	other := peers.dial()
	other.sendRequest("licence-order", "order", once...) // after the run
	other.expectAnswer(1, "done")
	peers.expectNoCommand()

	// A failed run may have had an effect: no other attempt may run.
	past := time.Now().Add(-time.Minute).UnixMilli() // longer ago than the window
	failedID := other.sendRequest("licence-order", "order", "once", "cd34", "at", fmt.Sprint(past))
	peers.expectCommand("launch", failedID)
	peers.agentSends("outcome", failedID, "failure", nil)
	other.expectAnswer(2, codeInternal)
	other.sendRequest("licence-order", "order", "once", "cd34", "at", fmt.Sprint(past+1000))
	other.expectAnswer(3, codeInternal)

	// The window starts with the attempt that ran. After it, the same key starts a new run.
	repeatedID := other.sendRequest("licence-order", "order", "once", "cd34")
	peers.expectCommand("launch", repeatedID)
}

// An attempt arrives twice, on the same or on another connection, before or after its answer. After the answer, the
// duplicate used to count as a new attempt, which ran and was answered again. It must run once and be answered once.
func TestDuplicateAttemptRunsOnce(t *testing.T) {
	t.Parallel()
	for _, place := range []string{"its connection", "another connection"} {
		for _, early := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, before the answer: %v", place, early), func(t *testing.T) {
				t.Parallel()
				duplicateAttempt(t, place == "its connection", early)
			})
		}
	}
}

// duplicateAttempt sends an attempt twice, the second time before the answer if early is set.
func duplicateAttempt(t *testing.T, sameConnection, early bool) {
	t.Helper()
	peers := startServer(t, append([]string{`"Idempotency": "safe"`, `"Idempotency": "unsafe"`}, noIdleClose...)...)
	client := peers.dial()
	id, frame := client.newRequest("preview", "x")
	client.write(frame)
	peers.expectCommand("launch", id)
	end := func() {
		peers.agentSends("outcome", id, "success", []byte("x"))
		client.expectAnswer(1, "x")
	}
	if !early {
		end()
	}
	other := client
	if !sameConnection {
		other = peers.dial()
	}
	other.write(frame)
	peers.expectNoCommand() // the duplicate does not run
	if early {
		end()
	}
	if sameConnection {
		client.expectConnectionEnd() // the call number was used twice
	} else {
		other.expectAnswer(1, codeInvalid)
	}
}

// An idempotent request is retried before or after its run is lost because the agent restarts. Both attempts must fail,
// each with one answer, and nothing may run again.
func TestRetryOfLostRunFails(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"retry", "loss"} {
		t.Run(first, func(t *testing.T) {
			t.Parallel()
			peers := startServer(t, noIdleClose...)
			client, other := peers.dial(), peers.dial()
			peers.expectCommand("launch", client.sendRequest("licence-order", "order", "once", "ab12"))
			if first == "retry" {
				other.sendRequest("licence-order", "order", "once", "ab12")
				other.write(encodeHealthCheck(2, nil))
				other.expectHealthy(2) // the retry has been read
			}
			peers.breakAgentLink()
			peers.expectCommand("subscribe", "")
			peers.handshake <- "booting" // the agent has just started
			client.expectAnswer(1, codeInternal)
			if first == "loss" {
				other.sendRequest("licence-order", "order", "once", "ab12")
			}
			other.expectAnswer(1, codeInternal)
			peers.expectCommand("subscribe", "")
			peers.lastOffset = 0
			peers.handshake <- "booting"
			peers.expectNoCommand()
		})
	}
}

package gossip

import (
	"errors"
	"io"
	"os"
	"syscall"
	"testing"

	"falldeal/internal/fleet"

	"github.com/stretchr/testify/require"
)

// The way in which a dial fails must tell a process that has ended from one that is stopped and one that is unreachable.
func TestDialEvidence(t *testing.T) {
	for name, testCase := range map[string]struct {
		err      error
		answered bool
		want     fleet.DialOutcome
	}{
		"no error":               {nil, false, fleet.OutcomeUnknown},
		"refused":                {syscall.ECONNREFUSED, false, fleet.ConnectionRefused},
		"reset before an answer": {syscall.ECONNRESET, false, fleet.ConnectionRefused},
		"closed for writing":     {syscall.EPIPE, false, fleet.ConnectionRefused},
		"closed at once":         {io.EOF, false, fleet.ConnectionRefused},
		"closed after an answer": {io.EOF, true, fleet.OutcomeUnknown},
		"accepted, no answer":    {errNoAnswer, false, fleet.ConnectionAccepted},
		"timeout":                {os.ErrDeadlineExceeded, false, fleet.NoResponse},
		"another error":          {errors.New("other"), false, fleet.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			var observer dialObserver
			observer.begin("a")
			observer.recordError("a", testCase.err)
			if testCase.answered {
				observer.recordAnswer("a")
			}
			observer.recordError("b", syscall.ECONNREFUSED) // of another connection
			require.Equal(t, testCase.want, observer.evidence())
			observer.begin("a")
			require.Equal(t, fleet.OutcomeUnknown, observer.evidence())
		})
	}
}

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

// A process that has ended, one that is suspended and one that is unreachable call for different actions. The way in which a
// dial fails must distinguish them.
func TestDialOutcomeDistinguishesCauses(t *testing.T) {
	for name, testCase := range map[string]struct {
		err       error
		responded bool
		want      fleet.DialOutcome
	}{
		"no error":                {nil, false, fleet.OutcomeUnknown},
		"refused":                 {syscall.ECONNREFUSED, false, fleet.ConnectionRefused},
		"reset before a response": {syscall.ECONNRESET, false, fleet.ConnectionRefused},
		"closed for writing":      {syscall.EPIPE, false, fleet.ConnectionRefused},
		"closed at once":          {io.EOF, false, fleet.ConnectionRefused},
		"closed after a response": {io.EOF, true, fleet.OutcomeUnknown},
		"accepted, no response":   {errNoResponse, false, fleet.ConnectionAccepted},
		"timeout":                 {os.ErrDeadlineExceeded, false, fleet.NoResponse},
		"another error":           {errors.New("other"), false, fleet.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			var observer dialObserver
			observer.begin("a")
			observer.recordError("a", testCase.err)
			if testCase.responded {
				observer.recordResponse("a")
			}
			observer.recordError("b", syscall.ECONNREFUSED) // an error of another address must not count
			require.Equal(t, testCase.want, observer.outcome())
			observer.begin("a")
			require.Equal(t, fleet.OutcomeUnknown, observer.outcome())
		})
	}
}

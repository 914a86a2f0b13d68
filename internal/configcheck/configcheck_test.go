package configcheck

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// An address that cannot be dialed must be found when the configuration is read, not when it is first used. Host names and
// ports out of range must be rejected; port 0 is valid only for an address at which the process listens.
func TestAddress(t *testing.T) {
	for _, test := range []struct {
		address      string
		dial, listen string // the error, "" for none
	}{
		{"127.0.0.1:80", "", ""},
		{"[::1]:65535", "", ""},
		{"0.0.0.0:0", `"0" is not a port`, ""},
		{"[::]:00", `"00" is not a port`, ""},
		{"", "missing", "missing"},
		{"here", "address here: missing port in address", "address here: missing port in address"},
		{"localhost:80", `"localhost" is not an IP address`, `"localhost" is not an IP address`},
		{":80", `"" is not an IP address`, `"" is not an IP address`},
		{"127.0.0.1:", `"" is not a port`, `"" is not a port`},
		{"127.0.0.1:65536", `"65536" is not a port`, `"65536" is not a port`},
		{"127.0.0.1:http", `"http" is not a port`, `"http" is not a port`},
	} {
		require.Equal(t, test.dial, text(Address(test.address)), test.address)
		require.Equal(t, test.listen, text(ListenAddress(test.address)), test.address)
	}
	require.ErrorIs(t, Address(""), ErrMissing)
}

// text returns the message of err, or "" if it is nil.
func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Callers look for the key and for the cause of a KeyError that was wrapped.
func TestKeyErrorUnwraps(t *testing.T) {
	cause := errors.New("negative")
	err := fmt.Errorf("configuration: %w", Errorf("settings.TickUs", "value %d: %w", -1, cause))
	require.EqualError(t, err, "configuration: settings.TickUs: value -1: negative")
	require.ErrorIs(t, err, cause)
	var keyError *KeyError
	require.ErrorAs(t, err, &keyError)
	require.Equal(t, "settings.TickUs", keyError.Key)
}

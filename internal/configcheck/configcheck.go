// Package configcheck has what the readers of configuration files share: the error that names a key, and checks of
// values that stand in several files.
package configcheck

import (
	"errors"
	"fmt"
	"net"
	"strconv"
)

// KeyError names the key or environment variable at fault. The readers return it wrapped, with the path of the file.
type KeyError struct {
	Key string // by its path, such as settings.Lanes[0].Name or fleet.seeds[1]; [] stands for every element of a list
	Err error
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns what is wrong with the value of the key.
func (e *KeyError) Unwrap() error { return e.Err }

// ErrMissing is the fault of a key that is required and absent.
var ErrMissing = errors.New("missing")

// Errorf returns a KeyError with a formatted text.
func Errorf(key, format string, args ...any) *KeyError {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}

// Address accepts an IP address with a port other than 0: there is no name service to ask. It returns ErrMissing for an
// empty one.
func Address(address string) error { return checkAddress(address, 1) }

// ListenAddress is Address for an address at which this process listens, where port 0 picks a free one.
func ListenAddress(address string) error { return checkAddress(address, 0) }

func checkAddress(address string, minPort uint64) error {
	if address == "" {
		return ErrMissing
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err //nolint:wrapcheck // it names the address, and KeyError the key
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address", host)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number < minPort {
		return fmt.Errorf("%q is not a port", port)
	}
	return nil
}

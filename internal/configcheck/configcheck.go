// Package configcheck contains the code that the readers of different configuration files share: the error that names
// the invalid key, and checks of addresses.
package configcheck

import (
	"errors"
	"fmt"
	"net"
	"strconv"
)

// KeyError reports the key or environment variable whose value is missing or invalid. The readers of files return it
// wrapped, with the path of the file.
type KeyError struct {
	Key string // path of the key, such as settings.Lanes[0].Name or fleet.seeds[1]; [] stands for all elements of a list
	Err error  // what is wrong with the value
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the reason why the value of the key is invalid.
func (e *KeyError) Unwrap() error { return e.Err }

// ErrMissing is the Err of a KeyError for a required key that is absent or empty.
var ErrMissing = errors.New("missing")

// Errorf returns a KeyError whose Err is formatted as by fmt.Errorf.
func Errorf(key, format string, args ...any) *KeyError {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}

// Address checks that address is an IP address with a port from 1 to 65535. Host names are invalid, as there is no name
// service to resolve them. It returns ErrMissing for an empty address.
func Address(address string) error { return checkAddress(address, 1) }

// ListenAddress is Address for an address at which this process listens. Port 0 is valid too; the system then chooses a free
// port.
func ListenAddress(address string) error { return checkAddress(address, 0) }

func checkAddress(address string, minPort uint64) error {
	if address == "" {
		return ErrMissing
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err //nolint:wrapcheck // it contains the address, and KeyError the key
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address", host)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number < minPort {
		return fmt.Errorf("%q is not a port", port)
	}
	return nil
}

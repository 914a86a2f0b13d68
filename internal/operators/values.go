package operators

import (
	"cmp"
	"fmt"
	"net"
	"strconv"
	"time"

	"falldeal/internal/fleet"
)

// setBounded sets target to a value that is given and within bounds. NaN is not.
func setBounded[T cmp.Ordered](key string, given *T, lowest, highest T, target *T) error {
	if given == nil {
		return nil
	}
	if inRange := *given >= lowest && *given <= highest; !inRange {
		return keyErrorf(key, "%v is not between %v and %v", *given, lowest, highest)
	}
	*target = *given
	return nil
}

// setDuration is setBounded for a duration in Go's notation, such as 500ms.
func setDuration(key string, given *string, lowest, highest time.Duration, target *time.Duration) error {
	if given == nil {
		return nil
	}
	duration, err := time.ParseDuration(*given)
	if err != nil {
		return &KeyError{Key: key, Err: err}
	}
	return setBounded(key, &duration, lowest, highest, target)
}

// checkAddress accepts an IP address with a port: there is no name service to ask.
func checkAddress(address string) error {
	if address == "" {
		return errMissing
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address", host)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("%q is not a port", port)
	}
	return nil
}

// checkPlaceName accepts the name of a region or zone: printable ASCII without spaces.
func checkPlaceName(name string) error {
	switch {
	case name == "":
		return errMissing
	case len(name) > fleet.MaxText:
		return fmt.Errorf("%d bytes, want at most %d", len(name), fleet.MaxText)
	}
	for _, char := range name {
		if char <= ' ' || char > '~' {
			return fmt.Errorf("%q has a character that is no printable ASCII", name)
		}
	}
	return nil
}

package operators

import (
	"cmp"
	"fmt"
	"time"

	"falldeal/internal/configcheck"
	"falldeal/internal/fleet"
)

// setBounded sets target to the given value. It does nothing if given is nil, and returns an error that names key if the
// value is NaN or not between lowest and highest.
func setBounded[T cmp.Ordered](key string, given *T, lowest, highest T, target *T) error {
	if given == nil {
		return nil
	}
	if inRange := *given >= lowest && *given <= highest; !inRange {
		return configcheck.Errorf(key, "%v is not between %v and %v", *given, lowest, highest)
	}
	*target = *given
	return nil
}

// setDuration is setBounded for a duration in Go's syntax, such as 500ms.
func setDuration(key string, given *string, lowest, highest time.Duration, target *time.Duration) error {
	if given == nil {
		return nil
	}
	duration, err := time.ParseDuration(*given)
	if err != nil {
		return &configcheck.KeyError{Key: key, Err: err}
	}
	return setBounded(key, &duration, lowest, highest, target)
}

// checkPlaceName checks the name of a region or zone: 1 to fleet.MaxText bytes of printable ASCII without spaces.
func checkPlaceName(name string) error {
	switch {
	case name == "":
		return configcheck.ErrMissing
	case len(name) > fleet.MaxText:
		return fmt.Errorf("%d bytes, want at most %d", len(name), fleet.MaxText)
	}
	for _, char := range name {
		if char <= ' ' || char > '~' {
			return fmt.Errorf("%q contains a space or a character other than printable ASCII", name)
		}
	}
	return nil
}

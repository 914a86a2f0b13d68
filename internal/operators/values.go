package operators

import (
	"cmp"
	"fmt"
	"time"

	"falldeal/internal/configcheck"
	"falldeal/internal/fleet"
)

// setBounded sets target to a value that is given and within bounds. NaN is not.
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

// setDuration is setBounded for a duration in Go's notation, such as 500ms.
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

// checkPlaceName accepts the name of a region or zone: printable ASCII without spaces.
func checkPlaceName(name string) error {
	switch {
	case name == "":
		return configcheck.ErrMissing
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

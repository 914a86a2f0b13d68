package operators

import (
	"errors"
	"fmt"
)

// KeyError names the key at fault. Load returns it wrapped, with the path of the file.
type KeyError struct {
	Key string // with its table, such as fleet.seeds[1]
	Err error
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

func (e *KeyError) Unwrap() error { return e.Err }

// errMissing is the fault of a key that is required and absent.
var errMissing = errors.New("missing")

// keyErrorf returns a KeyError with a formatted text.
func keyErrorf(key, format string, args ...any) error {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}

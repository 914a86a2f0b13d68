package config

import (
	"errors"
	"fmt"
)

// KeyError names the key or environment variable at fault. Functions of this package return it wrapped, with the path of
// the file.
type KeyError struct {
	Key string // by its path, such as settings.Lanes[0].Name; [] stands for every element of a list
	Err error
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

func (e *KeyError) Unwrap() error { return e.Err }

// errMissing is the fault of a key that is required and absent.
var errMissing = errors.New("missing")

// keyErrorf returns a KeyError with a formatted text.
func keyErrorf(key, format string, args ...any) *KeyError {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}

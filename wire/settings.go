package wire

import (
	"falldeal/admission"
	"falldeal/internal/config"
)

// ParseSettings reads a node's settings, JSON. Unknown keys are ignored. A value that is wrong is a *config.KeyError.
func ParseSettings(text []byte) (admission.Settings, error) {
	return config.Settings(text) //nolint:wrapcheck // the text of the error is part of the protocol
}

package wire

import (
	"falldeal/admission"
	"falldeal/internal/config"
)

// ParseSettings decodes the settings of a node from JSON. Unknown keys are ignored. The error for an invalid value is
// a wrapped *configcheck.KeyError.
func ParseSettings(text []byte) (admission.Settings, error) {
	return config.Settings(text) //nolint:wrapcheck // the text of the error is part of the protocol
}

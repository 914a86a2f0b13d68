package wire

import (
	"falldeal/admission"
	"falldeal/internal/config"
)

// ParseSettings reads a node's settings, JSON. Unknown keys are ignored.
func ParseSettings(text []byte) (admission.Settings, error) { return config.Settings(text) }

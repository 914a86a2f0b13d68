package wire

import (
	"time"

	"falldeal/admission"
	"falldeal/internal/config"
)

func microseconds(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

// ParseSettings reads a node's settings. Unknown keys are ignored.
func ParseSettings(text []byte) (admission.Settings, error) { return config.Settings(text) }

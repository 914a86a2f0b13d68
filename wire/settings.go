package wire

import (
	"time"

	"falldeal/admission"
	"falldeal/internal/config"
)

func us(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

// Settings reads a node's settings. Unknown keys are ignored.
func Settings(text []byte) (admission.Settings, error) { return config.Settings(text) }

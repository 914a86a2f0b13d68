package wire

import (
	"time"

	"falldeal/decide"
	"falldeal/internal/config"
)

func us(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

// Settings reads a node's settings. Unknown keys are ignored.
func Settings(text []byte) (decide.Settings, error) { return config.Settings(text) }

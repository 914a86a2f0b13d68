package admission

import "time"

// maxSeconds is the upper bound of an estimate. It prevents an overflow of time.Duration.
const maxSeconds = 1e6

// seconds converts an estimate in seconds to a Duration of at most maxSeconds.
func seconds(value float64) time.Duration {
	return time.Duration(min(value, maxSeconds) * float64(time.Second))
}

// scale returns duration multiplied by factor.
func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}

package admission

import "time"

// maxSeconds is the longest time that an estimate is taken for, so that a Duration does not overflow.
const maxSeconds = 1e6

// seconds turns an estimate in seconds into a Duration of maxSeconds at most.
func seconds(value float64) time.Duration {
	return time.Duration(min(value, maxSeconds) * float64(time.Second))
}

// scale multiplies a Duration by factor.
func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}

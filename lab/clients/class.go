package clients

import (
	"math/rand/v2"
	"time"

	"falldeal/lab/history"
)

// Class describes the requests of one class.
type Class struct {
	Name               string
	ArrivalRatio       float64       // fraction of all requests
	MeanWork           time.Duration // mean work of a run on one core
	Timeout            time.Duration // after which the client abandons the request
	LatencyObjective   time.Duration // latency above which an answer has no value
	Value              float64       // value of a request that is served in full
	DegradedValueRatio float64       // fraction of Value for a request served without its call
	IdempotentByKey    bool          // requests carry an idempotency key and must run at most once
}

// DrawWork draws the work of a request: half of the mean, plus an exponentially distributed part that averages the
// other half.
func (c *Class) DrawWork(random *rand.Rand) time.Duration {
	return time.Duration(float64(c.MeanWork) * (0.5 + random.ExpFloat64()/2))
}

// ValueServed returns the value of a request that was served within the latency objective.
func (c *Class) ValueServed(degraded bool) float64 {
	if degraded {
		return c.Value * c.DegradedValueRatio
	}
	return c.Value
}

// DrawClass draws the index of the class of a request. Each class has its ArrivalRatio as the probability.
func DrawClass(classes []Class, random *rand.Rand) (index int) {
	drawn := random.Float64()
	for index < len(classes)-1 && drawn >= classes[index].ArrivalRatio {
		drawn -= classes[index].ArrivalRatio
		index++
	}
	return index
}

// MeanWork returns the mean work of a request over all classes.
func MeanWork(classes []Class) (work time.Duration) {
	for i := range classes {
		work += time.Duration(classes[i].ArrivalRatio * float64(classes[i].MeanWork))
	}
	return work
}

// ReadWork returns the work of reading one request.
func ReadWork(classes []Class) time.Duration {
	return time.Duration(history.ReadCostRatio * float64(MeanWork(classes)))
}

// Capacity returns how many requests per second can be read and run, not counting calls to the store. TotalCores is
// the work, in seconds, that all servers together do per second.
func Capacity(totalCores float64, classes []Class) float64 {
	return totalCores / ((1 + history.ReadCostRatio) * MeanWork(classes).Seconds())
}

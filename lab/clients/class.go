package clients

import (
	"math/rand/v2"
	"time"

	"falldeal/lab/history"
)

// Class is one class of requests.
type Class struct {
	Name               string
	ArrivalRatio       float64       // of all requests
	MeanWork           time.Duration // on one core
	Timeout            time.Duration // after which the client abandons the request
	LatencyObjective   time.Duration // after which an answer has no value
	Value              float64       // of a request served in full
	DegradedValueRatio float64       // of Value, where the request is served without its call
	IdempotentByKey    bool          // a request carries an idempotency key and must run once
}

// DrawWork draws the work of a request: half of the mean is fixed, the rest has an exponential distribution.
func (c *Class) DrawWork(random *rand.Rand) time.Duration {
	return time.Duration(float64(c.MeanWork) * (0.5 + random.ExpFloat64()/2))
}

// ValueServed returns the value of a request that was served in time.
func (c *Class) ValueServed(degraded bool) float64 {
	if degraded {
		return c.Value * c.DegradedValueRatio
	}
	return c.Value
}

// DrawClass draws the index of a request's class, by the classes' arrival ratios.
func DrawClass(classes []Class, random *rand.Rand) (index int) {
	drawn := random.Float64()
	for index < len(classes)-1 && drawn >= classes[index].ArrivalRatio {
		drawn -= classes[index].ArrivalRatio
		index++
	}
	return index
}

// MeanWork returns the mean work of a request.
func MeanWork(classes []Class) (work time.Duration) {
	for i := range classes {
		work += time.Duration(classes[i].ArrivalRatio * float64(classes[i].MeanWork))
	}
	return work
}

// ReadWork returns the work of reading a request.
func ReadWork(classes []Class) time.Duration {
	return time.Duration(history.ReadCostRatio * float64(MeanWork(classes)))
}

// Capacity returns how many requests a second can be read and run, without calls, by servers that do
// totalCores seconds of work in a second.
func Capacity(totalCores float64, classes []Class) float64 {
	return totalCores / ((1 + history.ReadCostRatio) * MeanWork(classes).Seconds())
}

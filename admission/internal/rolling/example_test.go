package rolling_test

import (
	"fmt"
	"time"

	"falldeal/admission/internal/rolling"
)

// A Window counts the events of the last seconds.
func ExampleWindow() {
	window := rolling.NewWindow(0, 5*time.Second, 10)
	window.Add(time.Second, 3)
	window.Add(4*time.Second, 1)
	fmt.Println(window.Sum(4 * time.Second))
	fmt.Println(window.Sum(7 * time.Second))
	// Output:
	// 4
	// 1
}

// The quotient of a DecayingPair is a ratio over the recent past.
func ExampleDecayingPair() {
	work := rolling.NewDecayingPair(time.Second, 0, 0)
	work.Add(0, 10, 5)
	work.Add(time.Minute, 3, 1)
	fmt.Printf("%.1f\n", work.First/work.Second)
	// Output: 3.0
}

// An Average starts at its first value.
func ExampleAverage() {
	var average rolling.Average
	average.Add(10, 0.5)
	average.Add(20, 0.5)
	fmt.Println(average.ValueOr(0))
	// Output: 15
}

// A LinearFit estimates the time of a run from a hint of its work.
func ExampleLinearFit() {
	var fit rolling.LinearFit
	for range 100 {
		fit.Add(1, 2, 0.1)
		fit.Add(3, 6, 0.1)
	}
	fmt.Printf("%.1f\n", fit.At(2))
	// Output: 4.0
}

package timedqueue_test

import (
	"fmt"
	"time"

	"falldeal/admission/internal/timedqueue"
)

// Values are yielded in order of their times.
func ExampleQueue() {
	var queue timedqueue.Queue[string]
	queue.Push(3*time.Second, "later")
	queue.Push(time.Second, "sooner")
	for queue.Len() > 0 {
		value, at, _ := queue.Peek()
		queue.Pop()
		fmt.Println(at, value)
	}
	// Output:
	// 1s sooner
	// 3s later
}

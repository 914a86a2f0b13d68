// Package latest passes values from one goroutine to another if only the newest value matters.
package latest

// Value holds at most one value that has not been received yet. One goroutine sets it and another receives it.
type Value[T any] struct{ pending chan T }

// New returns an empty Value.
func New[T any]() Value[T] { return Value[T]{pending: make(chan T, 1)} }

// Set replaces a value that has not been received yet. It does not block if all calls come from one goroutine.
func (v Value[T]) Set(value T) {
	select {
	case <-v.pending:
	default:
	}
	v.pending <- value
}

// C returns the channel on which the newest value is received.
func (v Value[T]) C() <-chan T { return v.pending }

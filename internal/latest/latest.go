// Package latest hands values from one goroutine to another where only the newest counts.
package latest

// Value holds at most one value that was not received yet. One goroutine sets, another receives.
type Value[T any] struct{ pending chan T }

// New returns an empty Value.
func New[T any]() Value[T] { return Value[T]{pending: make(chan T, 1)} }

// Set replaces a value that was not received yet. It never blocks, as long as one goroutine alone calls it.
func (v Value[T]) Set(value T) {
	select {
	case <-v.pending:
	default:
	}
	v.pending <- value
}

// C is the channel that the value is received from.
func (v Value[T]) C() <-chan T { return v.pending }

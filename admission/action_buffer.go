package admission

// actionBuffer collects the actions of one step. The controller owns it and shares it with the parts that
// emit actions.
type actionBuffer struct{ pending []Action }

func (b *actionBuffer) emit(action Action) { b.pending = append(b.pending, action) }

// take returns the collected actions and empties the buffer.
func (b *actionBuffer) take() []Action {
	actions := b.pending
	b.pending = nil
	return actions
}

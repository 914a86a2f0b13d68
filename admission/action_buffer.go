package admission

// actionBuffer collects the actions of one step. It belongs to the controller; parts that cause actions share it.
type actionBuffer struct{ pending []Action }

func (b *actionBuffer) emit(action Action) { b.pending = append(b.pending, action) }

// take returns the actions that were collected and keeps none of them.
func (b *actionBuffer) take() []Action {
	actions := b.pending
	b.pending = nil
	return actions
}

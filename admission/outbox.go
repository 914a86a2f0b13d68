package admission

// outbox collects the actions of one step. It belongs to the controller; parts that cause actions share it.
type outbox struct{ actions []Action }

func (o *outbox) emit(action Action) { o.actions = append(o.actions, action) }

// take returns the actions that were collected and keeps none of them.
func (o *outbox) take() []Action {
	actions := o.actions
	o.actions = nil
	return actions
}

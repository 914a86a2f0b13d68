package admission

// TableSizes are the numbers of entries of the tables that grow with the requests that arrive. Both include
// obsolete entries, which are removed later.
type TableSizes struct {
	Deadlines    int // of requests, calls and remembered keys
	QueueEntries int // of the queues of all classes
}

// TableSizesOf returns the current sizes. It must be called between two steps.
func TableSizesOf(c *Controller) TableSizes {
	sizes := TableSizes{Deadlines: c.timers.deadlines.Len()}
	for i := range c.queue.classes {
		sizes.QueueEntries += len(c.queue.classes[i].requests)
	}
	return sizes
}

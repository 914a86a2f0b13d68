package model

import (
	"strconv"
	"time"

	"falldeal/admission"
	"falldeal/lab/workerpool"
)

// readTaskPrefix is the prefix of the names of tasks that read an attempt. A task that runs an attempt has the attempt's ID
// as its name.
const readTaskPrefix = "r"

// agentCores are the cores on which one process of a server reads attempts and its agent runs them.
type agentCores struct {
	*scheduledPool
	tasks    map[string]*attempt // attempts with a task in the pool, by task name
	unread   []*attempt          // attempts that wait to be read, oldest first
	reading  int                 // number of attempts that are being read
	maxReads int                 // largest number of attempts that are read at the same time
	readWork time.Duration       // work of reading one attempt, on a core of speed 1
}

// newCores returns idle cores for a new process. With warmingUp their speed starts low and rises over WarmupTime.
func (s *server) newCores(warmingUp bool) *agentCores {
	curve := workerpool.AgentCurve(s.sim.opts.Cores, workerpool.CoreSpeed(s.number))
	if warmingUp {
		curve.WarmupTime = s.sim.opts.WarmupTime
	}
	return &agentCores{
		scheduledPool: &scheduledPool{
			Pool: workerpool.NewPool(curve, s.sim.now), sim: s.sim, schedule: s.schedule, collect: s.collectCompleted,
		},
		tasks:    map[string]*attempt{},
		maxReads: s.sim.opts.Cores,
		readWork: s.sim.readWork,
	}
}

// enqueueRead queues an attempt to be read. The caller starts the read with startReads.
func (c *agentCores) enqueueRead(attempt *attempt) { c.unread = append(c.unread, attempt) }

// startReads starts reading queued attempts, oldest first, until maxReads of them are being read.
func (c *agentCores) startReads() {
	for len(c.unread) > 0 && c.reading < c.maxReads {
		attempt := c.unread[0]
		c.unread = c.unread[1:]
		c.reading++
		c.addTask(readTaskPrefix+taskName(attempt.id), attempt, c.readWork)
	}
}

// run adds the work of an attempt to the pool.
func (c *agentCores) run(attempt *attempt) {
	c.addTask(taskName(attempt.id), attempt, attempt.request.work)
}

func (c *agentCores) addTask(name string, attempt *attempt, work time.Duration) {
	c.tasks[name] = attempt
	c.Add(name, work)
}

// take forgets the name of a completed task and returns the attempt of the task.
func (c *agentCores) take(name string) *attempt {
	completed := c.tasks[name]
	delete(c.tasks, name)
	return completed
}

// readCompleted is called when an attempt has been read. It starts the next read.
func (c *agentCores) readCompleted() {
	c.reading--
	c.startReads()
}

func taskName(id admission.RequestID) string { return strconv.FormatUint(uint64(id), 10) }

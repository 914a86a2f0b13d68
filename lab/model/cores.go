package model

import (
	"strconv"
	"time"

	"falldeal/admission"
	"falldeal/lab/workerpool"
)

// readTaskPrefix begins the names of tasks that read attempts. Runs are named by the identifier of their attempt alone.
const readTaskPrefix = "r"

// agentCores are the cores of a server's agent, which read attempts and run them. They belong to one process.
type agentCores struct {
	*scheduledPool
	tasks    map[string]*attempt // by their names in the pool
	unread   []*attempt          // not begun to be read
	reading  int                 // attempts that are being read
	maxReads int                 // at a time
	readWork time.Duration       // of one attempt
}

// newCores returns the cores of a new process.
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

// enqueueRead queues an attempt to be read; startReads begins.
func (c *agentCores) enqueueRead(attempt *attempt) { c.unread = append(c.unread, attempt) }

// startReads begins to read as many attempts at a time as maxReads allows.
func (c *agentCores) startReads() {
	for len(c.unread) > 0 && c.reading < c.maxReads {
		attempt := c.unread[0]
		c.unread = c.unread[1:]
		c.reading++
		c.addTask(readTaskPrefix+taskName(attempt.id), attempt, c.readWork)
	}
}

// run begins to work on an attempt.
func (c *agentCores) run(attempt *attempt) {
	c.addTask(taskName(attempt.id), attempt, attempt.request.work)
}

func (c *agentCores) addTask(name string, attempt *attempt, work time.Duration) {
	c.tasks[name] = attempt
	c.Add(name, work)
}

// take removes a completed task and returns its attempt.
func (c *agentCores) take(name string) *attempt {
	completed := c.tasks[name]
	delete(c.tasks, name)
	return completed
}

// readCompleted makes room for the next read.
func (c *agentCores) readCompleted() {
	c.reading--
	c.startReads()
}

func taskName(id admission.RequestID) string { return strconv.FormatUint(uint64(id), 10) }

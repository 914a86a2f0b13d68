package fakes

// commandName names a command of an image server to the agent, as it stands on the wire.
type commandName string

const (
	commandSubscribe commandName = "subscribe"
	commandSample    commandName = "sample"
	commandExercise  commandName = "exercise"
	commandLaunch    commandName = "launch"
	commandDeliver   commandName = "deliver"
	commandForgo     commandName = "forgo"
)

// command is one command of an image server; which fields are set depends on its name.
type command struct {
	Name    commandName `json:"cmd"`
	Req     string      `json:"req"`
	Method  string      `json:"method"`
	Token   string      `json:"token"`
	Offset  int         `json:"offset"`
	Payload []byte      `json:"payload"`
}

// notificationName names a notification of the agent, as it stands on the wire.
type notificationName string

const (
	notificationGreeting  notificationName = "greeting"
	notificationSampled   notificationName = "sampled"
	notificationExercised notificationName = "exercised"
	notificationRequest   notificationName = "request"
	notificationOutcome   notificationName = "outcome"
)

// notification is one message of the agent to an image server; which fields are set depends on its name.
type notification struct {
	Name    notificationName `json:"cmd"`
	Offset  int              `json:"offset,omitempty"`
	Req     string           `json:"req,omitempty"`
	Token   string           `json:"token,omitempty"`
	Result  string           `json:"result,omitempty"`
	Elapsed float64          `json:"elapsed_ms,omitempty"`
	Load    []float64        `json:"load,omitempty"`
	Payload []byte           `json:"payload,omitempty"`
}

// RunResult is how a run ended, as it stands on the wire.
type RunResult string

// Results of runs that the agent reports.
const (
	RunSucceeded   RunResult = "success"
	RunInterrupted RunResult = "interrupted"
)

// callStatus is the status in a store's reply, as it stands on the wire.
type callStatus string

const (
	callOK     callStatus = "OK"
	callFailed callStatus = "ERR"
	callLate   callStatus = "LATE"
)

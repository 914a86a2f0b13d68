package fakes

// commandName is the name of a command from an image server to the agent, on the wire.
type commandName string

const (
	commandSubscribe commandName = "subscribe"
	commandSample    commandName = "sample"
	commandDeepCheck commandName = "exercise"
	commandLaunch    commandName = "launch"
	commandReply     commandName = "deliver"
	commandSkipCall  commandName = "forgo"
)

// command is a command of an image server. Its name determines which fields are set.
type command struct {
	Name    commandName `json:"cmd"`
	Req     string      `json:"req"`
	Method  string      `json:"method"`
	Token   string      `json:"token"`
	Offset  int         `json:"offset"`
	Payload []byte      `json:"payload"`
}

// notificationName is the name of a notification from the agent, on the wire.
type notificationName string

const (
	notificationHandshake   notificationName = "greeting"
	notificationSampled     notificationName = "sampled"
	notificationDeepChecked notificationName = "exercised"
	notificationRequest     notificationName = "request"
	notificationOutcome     notificationName = "outcome"
	notificationRejected    notificationName = "refusal"
)

// notification is a message from the agent to an image server. Its name determines which fields are set.
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

// RunResult is the result of a run, on the wire.
type RunResult string

// Results that the agent reports.
const (
	RunSucceeded   RunResult = "success"
	RunInterrupted RunResult = "interrupted"
)

// callStatus is the status in a reply of the store, on the wire.
type callStatus string

const (
	callOK     callStatus = "OK"
	callFailed callStatus = "ERR"
	callLate   callStatus = "LATE"
)

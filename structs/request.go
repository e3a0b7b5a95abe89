package structs

import "time"

// Execution describes whether a request without a complete answer ran.
type Execution string

// Values of Execution.
const (
	// ExecutionNotRun: certainly, no engine executed any part of the request.
	ExecutionNotRun Execution = "not_run"
	// ExecutionUnknown: it cannot be determined whether the request ran.
	ExecutionUnknown Execution = "outcome_unknown"
	// ExecutionPartial: a repeatable request ran in part; a retry is safe.
	ExecutionPartial Execution = "partial"
	// ExecutionDone: the request ran to completion under its idempotency key, and its
	// answer is no longer stored. This is certain and final.
	ExecutionDone Execution = "done"
)

// Request is the part of a caller's request on which the router bases its decisions.
type Request struct {
	ID     RequestID
	Row    RowName
	Prompt string
	// MaxTokens bounds the answer.
	MaxTokens int
	// Sampling is nil for the engine's defaults.
	Sampling   *Sampling
	Priority   Priority
	Caller     string
	ArrivedAt  time.Time
	DeadlineAt time.Time
	// IdempotencyKey makes the request run at most once; empty means repeatable.
	IdempotencyKey string
	// Embedding requests the vector of the prompt instead of generated text. The answer
	// is one token whose text is a JSON list of numbers.
	Embedding bool
	// Forwarded is set if another zone's router forwarded the request, which is then
	// not forwarded again.
	Forwarded bool
	// IfReady is set along with Forwarded if the request is to be rejected at once, as
	// not run, unless a ready replica has capacity for it now.
	IfReady bool
}

// Repeatable reports whether the request may run more than once.
func (r Request) Repeatable() bool { return r.IdempotencyKey == "" }

// Rejection is the terminal response to a request without a complete answer.
type Rejection struct {
	Error     Error
	Execution Execution
}

// GenerateRequest is what a router sends to an engine.
type GenerateRequest struct {
	ID        RequestID `json:"id"`
	Row       RowName   `json:"row"`
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	Sampling  *Sampling `json:"sampling,omitempty"`
	Priority  Priority  `json:"priority"`
	// ResumeFrom is the index of the first token to send, so that an interrupted stream
	// resumes on another engine without repeated or lost tokens.
	ResumeFrom int `json:"resume_from"`
	// Embedding requests the vector of the prompt, as in Request.
	Embedding bool `json:"embedding,omitempty"`
	// Incarnation, if set, must be the engine's own.
	Incarnation Incarnation `json:"incarnation,omitempty"`
}

// FinishReason is why a stream ended.
type FinishReason string

// The finish reasons.
const (
	FinishStop      FinishReason = "stop"
	FinishLength    FinishReason = "length"
	FinishCancelled FinishReason = "cancelled"
	FinishError     FinishReason = "error"
)

// Token is one event of an engine's stream. A stream is complete if its last token has
// a Finish of stop or length and the indexes have no gap.
type Token struct {
	ID     RequestID    `json:"id"`
	Index  int          `json:"index"`
	Text   string       `json:"text"`
	Finish FinishReason `json:"finish,omitempty"`
}

// RunState is the state of a request in an engine.
type RunState string

// The run states.
const (
	// RunUnknown: the engine has no record of the request. That the request did not run
	// follows only if the engine still has the incarnation to which the request was
	// sent, and rejects the ID from now on.
	RunUnknown   RunState = "unknown"
	RunQueued    RunState = "queued"
	RunRunning   RunState = "running"
	RunFinished  RunState = "finished"
	RunCancelled RunState = "cancelled"
)

// RequestStatus is the state of a request ID at an engine.
type RequestStatus struct {
	ID          RequestID    `json:"id"`
	State       RunState     `json:"state"`
	Incarnation Incarnation  `json:"incarnation"`
	Tokens      int          `json:"tokens"`
	Finish      FinishReason `json:"finish,omitempty"`
	// Started is set if the engine has executed any part of the request.
	Started bool `json:"started"`
}

// DemandReport is a router's report of its waiting requests, with one entry per row.
type DemandReport struct {
	Daemon DaemonID
	// Partial reports list only rows that changed; the others stay as reported before.
	Partial bool
	Rows    []RowDemand
}

// RowDemand is the demand for one row at one router.
type RowDemand struct {
	Row RowName
	// Waiting and Running count requests now.
	Waiting int
	Running int
	// Arrived counts the requests since the router's previous report of the row.
	Arrived int
	// Unserved is set if the router knows no ready replica of the row.
	Unserved bool
	// Highest is the highest priority of a waiting request.
	Highest Priority
	// OldestWait is the waiting time of the oldest request.
	OldestWait time.Duration
}

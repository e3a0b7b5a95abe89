package structs

import "time"

// Execution says whether a request that got no full answer ran.
type Execution string

// What is known of an execution.
const (
	// ExecutionNotRun: no engine executed any part of the request. It is certain.
	ExecutionNotRun Execution = "not_run"
	// ExecutionUnknown: it cannot be known whether the request ran.
	ExecutionUnknown Execution = "outcome_unknown"
	// ExecutionPartial: a repeatable request ran in part; asking again is safe.
	ExecutionPartial Execution = "partial"
	// ExecutionDone: the request ran whole under its idempotency key, and its answer
	// is no longer kept. It is certain, and will not change.
	ExecutionDone Execution = "done"
)

// Request is a caller's request as the router's decisions see it.
type Request struct {
	ID     RequestID
	Row    RowName
	Prompt string
	// MaxTokens bounds the answer.
	MaxTokens int
	// Sampling is nil when the engine's defaults will do.
	Sampling   *Sampling
	Priority   Priority
	Caller     string
	ArrivedAt  time.Time
	DeadlineAt time.Time
	// IdempotencyKey makes the request run at most once; empty means repeatable.
	IdempotencyKey string
	// Embedding asks for the vector of the prompt instead of generated text: the
	// answer is one token whose text is a JSON list of numbers.
	Embedding bool
	// Forwarded is set when another zone's router sent the request here; it is
	// not forwarded again.
	Forwarded bool
	// IfReady is set beside Forwarded when the request is to be refused at once,
	// as not run, unless a ready replica has room for it now.
	IfReady bool
}

// Repeatable reports whether the request may run more than once.
func (r Request) Repeatable() bool { return r.IdempotencyKey == "" }

// Rejection is the terminal answer to a request that got no full answer.
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
	// ResumeFrom is the index of the first token wanted: a stream that broke is
	// resumed elsewhere without a repeated or lost token.
	ResumeFrom int `json:"resume_from"`
	// Embedding asks for the vector of the prompt, as in Request.
	Embedding bool `json:"embedding,omitempty"`
	// Incarnation, when set, must be the engine's own.
	Incarnation Incarnation `json:"incarnation,omitempty"`
}

// FinishReason says why a stream ended.
type FinishReason string

// The finish reasons.
const (
	FinishStop      FinishReason = "stop"
	FinishLength    FinishReason = "length"
	FinishCancelled FinishReason = "cancelled"
	FinishError     FinishReason = "error"
)

// Token is one event of an engine's stream. A stream is whole when its last
// token has a Finish of stop or length and the indexes have no gap.
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
	// RunUnknown: the engine has no record. It says not-run only when the engine
	// has the same incarnation as when the request was sent and refuses the ID
	// from now on.
	RunUnknown   RunState = "unknown"
	RunQueued    RunState = "queued"
	RunRunning   RunState = "running"
	RunFinished  RunState = "finished"
	RunCancelled RunState = "cancelled"
)

// RequestStatus is an engine's answer about a request ID.
type RequestStatus struct {
	ID          RequestID    `json:"id"`
	State       RunState     `json:"state"`
	Incarnation Incarnation  `json:"incarnation"`
	Tokens      int          `json:"tokens"`
	Finish      FinishReason `json:"finish,omitempty"`
	// Started is true once the engine has executed any part of it.
	Started bool `json:"started"`
}

// DemandReport is a router's statement of the requests waiting for a row: one
// entry a row however many requests wait.
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
	// Unserved says that the router knows no ready replica of the row.
	Unserved bool
	// Highest is the highest priority waiting.
	Highest Priority
	// OldestWait is how long the oldest request has waited.
	OldestWait time.Duration
}

package poison

import "time"

// Report is a router's report of the loss of a runner.
type Report struct {
	// Instance is the incarnation of the runner.
	Instance string
	// Digests lists the requests that were in flight when the connections broke, and Parts the parts of their prompts that
	// they may share with others.
	Digests []Digest
	Parts   []Digest
}

// Entry describes one suspect to routers.
type Entry struct {
	Digest Digest
	// RefusedFor is how long the request must not be executed; 0 if it may be with the leader's
	// permission.
	RefusedFor time.Duration
}

// List describes all suspects to routers.
type List struct {
	// Revision increases with each change within one leadership.
	Revision uint64
	Entries  []Entry
}

// Record is the replicated state of a suspect.
type Record struct {
	Digest Digest
	// Losses is the number of losses at which the request was in flight.
	Losses int
	// Refusals is the number of refusals. RefusedFor is the duration of the current one; 0 if there
	// is none.
	Refusals   int
	RefusedFor time.Duration
	// IsCleared is set when the request is no longer a suspect.
	IsCleared bool
	// IsPart is set if the suspect is a part of prompts.
	IsPart bool `msgpack:",omitempty"`
}

// Ending is the end of an execution that did not lose its runner.
type Ending struct {
	// Digest is the suspect that was on trial, or one that the execution has cleared.
	Digest Digest
	How    Outcome
	// Instance is the runner of the execution, and Asker identifies the request on trial to the leader. They are empty from routers
	// of the previous version.
	Instance string `msgpack:",omitempty"`
	Asker    string `msgpack:",omitempty"`
}

// Outcome is the way in which an execution ended.
type Outcome uint8

// Outcomes of an execution.
const (
	// Succeeded: the answer is complete, so the request is harmless.
	Succeeded Outcome = iota + 1
	// Inconclusive: the request was sent, and ended inconclusively.
	Inconclusive
	// Rejected: the runner rejected the request.
	Rejected
	// NotSent: the request reached no runner.
	NotSent
)

// Decision is the answer to a request for permission.
type Decision struct {
	Permission Permission
	// RetryAfter is when the caller may retry; 0 if the request may be sent.
	RetryAfter time.Duration
	// Subject is the suspect that is on trial, or that is refused.
	Subject Digest
}

// Permission is the leader's decision on one attempt to send a request.
type Permission uint8

// Permissions for an attempt.
const (
	// Free: the request is no suspect.
	Free Permission = iota
	// Trial: the request may be sent once, and its outcome must be reported.
	Trial
	// Later: another trial is in progress.
	Later
	// Refused: the request must not be sent.
	Refused
)

// String returns the name of the permission in logs and metrics.
func (p Permission) String() string {
	switch p {
	case Free:
		return "free"
	case Trial:
		return "trial"
	case Later:
		return "later"
	default:
		return "refused"
	}
}

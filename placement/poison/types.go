package poison

import "time"

// Report is what a router saw of the loss of a runner.
type Report struct {
	// Instance names the life of the runner.
	Instance string
	// Digests are those of requests that were under way there when its connections broke.
	Digests []Digest
}

// Entry is what routers are told of a request that may crash runners.
type Entry struct {
	Digest Digest
	// RefusedFor is how long the request is not to be run at all; 0 for one that may run
	// by the leader's permission only.
	RefusedFor time.Duration
}

// List is what routers are told of all such requests.
type List struct {
	// Revision rises with each change within one leadership.
	Revision uint64
	Entries  []Entry
}

// Record is what has to outlive a leader.
type Record struct {
	Digest Digest
	// Losses is at how many losses the request was under way.
	Losses int
	// Refusals is how often it has been refused for a while, and RefusedFor for how long the
	// last time; 0 if it is not refused.
	Refusals   int
	RefusedFor time.Duration
	// IsCleared is set once nothing speaks against the request any more.
	IsCleared bool
}

// Ending is how a run of a request ended that did not lose its runner.
type Ending struct {
	Digest Digest
	How    How
}

// How is the way in which a run ended.
type How uint8

// The ways.
const (
	// EndedWell: the answer is whole, so that the request crashes nothing.
	EndedWell How = iota + 1
	// EndedOpen: it was sent, and ended before it had shown anything.
	EndedOpen
	// TurnedAway: the runner did not run it.
	TurnedAway
	// NotSent: it reached no runner.
	NotSent
)

// Permission is the leader's word on one sending of a request.
type Permission uint8

// The permissions.
const (
	// Free: nothing speaks against the request.
	Free Permission = iota
	// Trial: it may be sent this once, and the leader must be told how that ended.
	Trial
	// Later: another trial is under way.
	Later
	// Refused: it is not to be run.
	Refused
)

// String names the permission in logs and metrics.
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

package relay

import "github.com/lotusferry/lotusferry/request/routing"

// result is how an attempt ended.
type result struct {
	outcome routing.Outcome
	// isDone is set if the caller has its answer, or has left.
	isDone bool
	// isNotRun is set if the request certainly has not run.
	isNotRun bool
	// answer is a failure of the runner that may be passed on; nil if there is none.
	answer *wholeAnswer
	reason string
	err    error
}

// isUnreachable reports whether the runner could not be reached, or said nothing for too
// long. A connection that broke later may have had other causes.
func (r result) isUnreachable() bool {
	return r.reason == reasonSilent || r.reason == reasonSendFailed && r.isNotRun
}

// isBroken reports whether the connection broke while the runner may have run the request: the
// runner may have crashed.
func (r result) isBroken() bool {
	return (r.reason == reasonSendFailed || r.reason == reasonCutShort) && !r.isNotRun && !r.isDone
}

// isServed reports whether the caller has a whole answer of the runner.
func (r result) isServed() bool { return r.isDone && r.reason == "" }

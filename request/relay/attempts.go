package relay

import (
	"cmp"
	"slices"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// countAttempt counts the outcome of an attempt for the next report to the leader, which sums up
// all routers. A failure triggers a report at once.
func (r *Router) countAttempt(runner structs.RunnerID, ended result) {
	isFailed := ended.isRunnerFailure()
	if !isFailed && !ended.isServed() {
		return
	}
	r.mutex.Lock()
	known := r.attemptCounts[runner]
	if known == nil {
		known = &fleet.Attempts{Instance: string(runner)}
		r.attemptCounts[runner] = known
	}
	if isFailed {
		known.Failed++
	} else {
		known.Answered++
	}
	r.mutex.Unlock()
	if isFailed {
		r.wakeReport()
	}
}

// isRunnerFailure reports whether the runner or the connection to it failed the attempt.
func (r result) isRunnerFailure() bool {
	switch r.reason {
	case reasonSendFailed, reasonSilent, reasonCutShort, reasonMalformed, reasonTooLong, reasonNotSigned:
		return true
	case reasonRunnerFailed:
		return r.outcome == routing.OutcomeUnavailable
	}
	return false
}

// takeAttempts returns the counts since the last call, sorted by instance, and resets them.
func (r *Router) takeAttempts() []fleet.Attempts {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.attemptCounts) == 0 {
		return nil
	}
	taken := make([]fleet.Attempts, 0, len(r.attemptCounts))
	for _, each := range r.attemptCounts {
		taken = append(taken, *each)
	}
	clear(r.attemptCounts)
	slices.SortFunc(taken, func(a, b fleet.Attempts) int { return cmp.Compare(a.Instance, b.Instance) })
	return taken
}

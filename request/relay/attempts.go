package relay

import (
	"cmp"
	"slices"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// noteAttempt counts how an attempt at a runner ended, for the leader, which adds up what all routers
// saw. The leader hears of failures at once.
func (r *Router) noteAttempt(runner structs.RunnerID, ended result) {
	isFailed := ended.isFailureOfRunner()
	if !isFailed && !ended.isServed() {
		return
	}
	r.mutex.Lock()
	known := r.ended[runner]
	if known == nil {
		known = &fleet.Attempts{Instance: string(runner)}
		r.ended[runner] = known
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

// isFailureOfRunner reports whether the runner, or the way to it, failed the attempt.
func (r result) isFailureOfRunner() bool {
	switch r.reason {
	case reasonSendFailed, reasonSilent, reasonCutShort, reasonNotSigned:
		return true
	case reasonRunnerFailed:
		return r.outcome == routing.OutcomeRefused
	}
	return false
}

// takeAttempts hands out the counts to report, by instance.
func (r *Router) takeAttempts() []fleet.Attempts {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.ended) == 0 {
		return nil
	}
	taken := make([]fleet.Attempts, 0, len(r.ended))
	for _, each := range r.ended {
		taken = append(taken, *each)
	}
	clear(r.ended)
	slices.SortFunc(taken, func(a, b fleet.Attempts) int { return cmp.Compare(a.Instance, b.Instance) })
	return taken
}

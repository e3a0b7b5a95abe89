package relay

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/request/standby"
	"github.com/lotusferry/lotusferry/structs"
)

// Outcomes of continuations, for metrics and logs.
const (
	continuationServed    = "served"
	continuationNoCopy    = "no_copy"
	continuationFailed    = "failed"
	continuationNoBudget  = "no_budget"
	continuationLate      = "late"
	continuationSuspected = "suspected"
)

// maxContinuationLogRate bounds the log lines per second about continuations.
const maxContinuationLogRate = 20

// continueStream continues a stream that was lost with its runner from the copy at its standby. It
// returns the result of the last run: that of the lost one if the continuation did not run. The former
// attempt's connection must be closed.
func (x *exchange) continueStream(ctx context.Context, from structs.RunnerID, lost result) result {
	defer x.dropHandoff()
	for lost.isLoss() && ctx.Err() == nil {
		x.lostAt = append(x.lostAt, from)
		copied := x.copied
		to, verdict := x.handover.Lost(x.router.now(), x.newLoss())
		taken := x.takeHandoff()
		if taken == nil && verdict == standby.VerdictNoCopy {
			return lost
		}
		began := x.router.now()
		lastEvent := x.lastEvent
		next, outcome := result{}, ""
		switch {
		case taken != nil:
			to.Runner = taken.next.choice.Runner()
			next, outcome = x.followStandby(taken)
		case verdict == standby.VerdictLate:
			outcome = continuationLate
		case verdict == standby.VerdictSuspected:
			outcome = continuationSuspected
		default:
			next, outcome = x.continueAt(ctx, to.Runner, copied)
		}
		x.router.metrics.continuations.WithLabelValues(outcome).Inc()
		x.logContinuation(from, to.Runner, lost, next, outcome, lastEvent, x.router.now().Sub(began))
		switch outcome {
		case continuationServed, continuationFailed:
			// A caller that left before the continuation was sent has been counted already.
			if next.isNotRun && !next.isDone {
				return lost
			}
			from, lost = to.Runner, next
			x.avoid = from
		default:
			return lost
		}
	}
	return lost
}

// newLoss returns what is known of the loss of the stream.
func (x *exchange) newLoss() standby.Loss {
	known := x.router.localPermission(x.keys)
	x.router.mutex.Lock()
	defer x.router.mutex.Unlock()
	return standby.Loss{
		TimeLeft: x.timeLeft(), IsSuspected: known.Permission != poison.Free, Runners: x.router.suspects.lossesOf(x.keys.content),
	}
}

// continueAt sends the request to the runner that holds the copy, and forwards the rest of the stream.
func (x *exchange) continueAt(ctx context.Context, runner structs.RunnerID, copied *streamCopy) (result, string) {
	choice, outcome := x.acquireStandby(runner, copied)
	if outcome != "" {
		return result{}, outcome
	}
	x.isContinuing = true
	ended := x.attempt(ctx, choice)
	x.isContinuing = false
	x.endAttempt(choice, permit{permission: poison.Free}, ended)
	ended = x.followSuccessors(ended)
	return ended, continuationOutcome(ended)
}

// continuationOutcome returns the outcome of a continuation that was sent.
func continuationOutcome(ended result) string {
	switch {
	case ended.reason == reasonNoCopy || ended.reason == reasonNotHeld:
		return continuationNoCopy
	case ended.isServed():
		return continuationServed
	}
	return continuationFailed
}

// acquireStandby takes one retry from the budget and counts the continuation at the standby. It returns
// an outcome if there is none.
func (x *exchange) acquireStandby(runner structs.RunnerID, copied *streamCopy) (routing.Choice, string) {
	choice, found := x.router.standbyAt(x.row, runner)
	switch {
	case !found:
		return choice, continuationNoCopy
	case !x.mayRepeat():
		return choice, continuationNoBudget
	}
	x.router.countContinuation(x.row, choice, copied)
	return choice, ""
}

// mayRepeat takes the retry that was reserved before an attempt was withdrawn, or one from the budget. The reserved one may have waited
// for long, and counts from now on.
func (x *exchange) mayRepeat() bool {
	takenAt := x.reservedAt
	if takenAt.IsZero() {
		return x.router.mayRepeat(x.row.Service)
	}
	x.reservedAt = time.Time{}
	return x.router.mayUseReserved(x.row.Service, takenAt)
}

// logContinuation logs what followed the loss of a stream that had a copy.
func (x *exchange) logContinuation(from, to structs.RunnerID, lost, next result, outcome string, lastEvent int64, took time.Duration) {
	suppressed, allowed := x.router.continuationLog.Allow(x.router.now())
	if !allowed {
		return
	}
	level.Info(x.router.logger).Log("msg", "A lost stream had a copy.", "request", x.request.ID, "content", x.keys.content,
		"runner", from, "reason", lost.reason, "standby", to, "last_event", lastEvent, "outcome", outcome, "ended", next.reason,
		"took", took, "age", x.router.age(x.request), "not_logged", suppressed, "err", next.err)
}

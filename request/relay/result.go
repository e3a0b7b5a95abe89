package relay

import (
	"errors"

	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/request/tunnel"
)

const (
	// reasonNoRunner means that no runner was found in time.
	reasonNoRunner = "no_runner"
	// reasonSilent means that the runner sent nothing for too long, reasonSendFailed that
	// connecting failed or the connection broke.
	reasonSilent     = "silent"
	reasonSendFailed = "send_failed"
	// reasonForeignAnswer means that the runner sent an answer to another request, reasonMalformed that it sent bytes that are no
	// answer, and reasonTooLong that its answer, or an event of it, exceeds its bound.
	reasonForeignAnswer = "foreign_answer"
	reasonMalformed     = "malformed_answer"
	reasonTooLong       = "answer_too_long"
	// reasonPeerFailed means that the peer through which the runner is reached was not reached or accepted
	// nothing. The request was not sent.
	reasonPeerFailed = "peer_failed"
	// reasonPeerLost means that the peer was lost after the request was sent.
	reasonPeerLost = "peer_lost"
	// reasonNotHeld means that the runner does not hold the model, reasonShed that it is at
	// capacity.
	reasonNotHeld = "not_held"
	reasonShed    = "shed"
	// reasonBudget means that the retry budget was exhausted.
	reasonBudget = "retry_budget"
	// reasonNotSigned means that the response lacks the runner's signature, reasonRunnerFailed that
	// the runner itself reported a failure.
	reasonNotSigned    = "not_signed"
	reasonRunnerFailed = "runner_failed"
	// reasonCutShort means that the response was truncated.
	reasonCutShort = "cut_short"
	// reasonCallerLeft means that the caller closed its connection, or the sending side of it, or did not take the response.
	reasonCallerLeft = "caller_left"
	// reasonNoCopy means that the runner has no copy from which the stream could be continued,
	// reasonNotResumed that the answer is not the rest of a stream, and reasonNotContinuous that its
	// events do not follow the last one that the caller has.
	reasonNoCopy        = "no_copy"
	reasonNotResumed    = "not_resumed"
	reasonNotContinuous = "not_continuous"
)

// result is the outcome of an attempt.
type result struct {
	outcome routing.Outcome
	// isDone is set if the caller has received its response or has left.
	isDone bool
	// isNotRun is set if the request certainly did not run.
	isNotRun bool
	// answer is the runner's error response, which may be forwarded; nil if there is none.
	answer *bufferedAnswer
	reason string
	err    error
}

// tooLong returns the result of an attempt whose answer, or an event of it, exceeds its bound.
func tooLong() result {
	return result{outcome: routing.OutcomeBroken, reason: reasonTooLong, err: ErrAnswerTooLong}
}

// cutShort returns the result of an attempt whose answer could not be read to its end.
func cutShort(err error) result {
	ended := result{outcome: routing.OutcomeBroken, reason: reasonCutShort, err: err}
	if errors.Is(err, ErrMalformedAnswer) {
		ended.reason = reasonMalformed
	}
	return ended
}

// sendFailure returns the result of a send without an answer.
func sendFailure(err error) result {
	ended := result{outcome: routing.OutcomeBroken, reason: sendFailureReason(err), err: err, isNotRun: errors.Is(err, ErrNotSent)}
	if isPeerFailure(err) {
		ended.outcome, ended.reason = routing.OutcomeNeutral, reasonPeerFailed
	}
	return ended
}

// sendFailureReason returns the reason why no answer to a request was received.
func sendFailureReason(err error) string {
	switch {
	case errors.Is(err, ErrForeignAnswer):
		return reasonForeignAnswer
	case errors.Is(err, ErrMalformedAnswer):
		return reasonMalformed
	case errors.Is(err, ErrAnswerTooLong):
		return reasonTooLong
	}
	return reasonSendFailed
}

// isUnreachable reports whether the runner could not be reached or sent nothing for too long. A
// connection that broke later may have other causes.
func (r result) isUnreachable() bool {
	return r.reason == reasonSilent || r.reason == reasonSendFailed && r.isNotRun
}

// isBroken reports whether the connection broke while the runner may have been running the request,
// which indicates a crash. A runner that sends something else than an answer still runs.
func (r result) isBroken() bool {
	return (r.reason == reasonSendFailed || r.reason == reasonCutShort) && !r.isNotRun && !r.isDone
}

// isLoss reports whether the request was sent and its answer was lost with the runner or the
// connection: by a reset, an early end, silence, or something else that was sent in its place. A failure that the runner itself reports is an
// answer.
func (r result) isLoss() bool {
	if r.isDone || r.isNotRun {
		return false
	}
	switch r.reason {
	case reasonSendFailed, reasonSilent, reasonCutShort, reasonForeignAnswer, reasonMalformed, reasonTooLong, reasonZoneLost, reasonPathLost, reasonPeerLost:
		return true
	}
	return false
}

// withPeerLoss returns the result of an attempt at whose loss the peer, and not the runner, ended the connection.
func (r result) withPeerLoss() result {
	if r.isLoss() && errors.Is(r.err, tunnel.ErrPeerEnded) {
		r.reason, r.outcome = reasonPeerLost, routing.OutcomeNeutral
	}
	return r
}

// isServed reports whether the caller received the complete response of a runner.
func (r result) isServed() bool { return r.isDone && r.reason == "" }

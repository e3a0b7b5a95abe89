package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/lotusferry/lotusferry/request/paths"
	"github.com/lotusferry/lotusferry/request/routing"
	"github.com/lotusferry/lotusferry/structs"
)

// attempt sends the request to a runner and forwards its response.
func (x *exchange) attempt(parent context.Context, choice routing.Choice) result {
	x.copied = nil
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	watchdog := x.watch(choice, cancel)
	defer watchdog.stop()
	defer x.router.beginAttempt(choice, watchdog)()
	if errors.Is(context.Cause(ctx), errUnwanted) {
		return x.sendFailed(ctx, choice, watchdog.path, ErrNotSent)
	}
	x.beginCopy(choice)
	x.sent++
	x.path = watchdog.path
	x.runnerVersion = choice.Version()
	sent := x.router.now()
	x.timing.noteSent(choice.Runner())
	answer, err := x.router.options.Backend.Send(ctx, &Attempt{
		Request: x.request, Instance: string(choice.Runner()), Address: choice.Address(),
		Peer: watchdog.path.Peer, Service: x.row.Service,
		Wait: x.runnerTime(), Priority: x.priority, ResumeAfter: x.lastEvent,
		Tenant: x.tenantName(), HidesKey: x.hidesKey, Begin: watchdog.begin,
		CopyTo: x.copied.address(), IsContinuation: x.isContinuing, Used: &x.used,
	})
	if err != nil {
		return x.sendFailed(ctx, choice, watchdog.path, err)
	}
	x.arrivals++
	x.router.observeAnswer(choice, watchdog.path, sent, answer)
	watchdog.resetSilence()
	defer answer.Body.Close()
	ended := x.receive(ctx, choice, answer, watchdog).withPeerLoss()
	x.noteLostPeer(watchdog.path, ended)
	if ended.reason != "" || x.sent > 1 {
		x.logAttempt(choice, answer.Status, ended)
	}
	return ended
}

// tenantName returns the tenant's name, or "".
func (x *exchange) tenantName() string {
	if x.tenant == nil {
		return ""
	}
	return x.tenant.Name
}

// timeLeft returns the time until the deadline.
func (x *exchange) timeLeft() time.Duration { return x.deadline.Sub(x.router.now()) }

// runnerTime returns the time given to a runner.
func (x *exchange) runnerTime() time.Duration {
	left := x.timeLeft()
	return left - min(lastAnswerTime, left/lastAnswerShare)
}

func (x *exchange) sendFailed(ctx context.Context, choice routing.Choice, path paths.Path, err error) result {
	ended := result{outcome: routing.OutcomeBroken, reason: sendFailureReason(err), err: err}
	if isPeerFailure(err) {
		ended.outcome, ended.reason = routing.OutcomeNeutral, reasonPeerFailed
	}
	if errors.Is(err, ErrNotSent) {
		ended.isNotRun = true
		if !errors.Is(context.Cause(ctx), errUnwanted) && !x.isContinuing {
			x.unsent++
		}
		if ctx.Err() == nil {
			x.router.noteNotReached(choice.Runner(), path, err)
		}
	} else {
		x.countRun()
		x.arrivals++
		if ctx.Err() == nil && path.IsDirect() && ended.reason == reasonSendFailed {
			x.router.connectionBroke(choice.Runner())
		}
	}
	if ctx.Err() != nil {
		ended = x.contextResult(ctx, ended)
	}
	ended = ended.withPeerLoss()
	x.noteLostPeer(path, ended)
	x.logAttempt(choice, 0, ended)
	return ended
}

// noteLostPeer has another peer used for the request after one through which an attempt was lost: whether the peer or
// the runner was lost cannot be told.
func (x *exchange) noteLostPeer(path paths.Path, ended result) {
	if ended.isLoss() {
		x.lostPeer = path.Peer
	}
}

// contextResult adds to a result the reason why the attempt's context ended.
func (x *exchange) contextResult(ctx context.Context, ended result) result {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errSilent):
		ended.reason = reasonSilent
	case errors.Is(cause, errZoneLost):
		ended.reason = reasonZoneLost
	case errors.Is(cause, errPeerLost):
		ended.reason, ended.outcome = reasonPeerLost, routing.OutcomeNeutral
	case errors.Is(cause, errUnwanted):
		ended.reason = reasonUnwanted
		ended.outcome = routing.OutcomeNeutral
	case errors.Is(cause, errTimeout):
		ended.reason = "timeout"
		ended.outcome = routing.OutcomeNeutral
	case errors.Is(cause, errStopped):
		ended.reason = "router_stops"
		ended.outcome = routing.OutcomeNeutral
	default:
		ended.reason = reasonCallerLeft
		ended.outcome = routing.OutcomeNeutral
		ended.isDone = true
	}
	return ended
}

// receive reads a response and forwards it if it is final.
func (x *exchange) receive(ctx context.Context, choice routing.Choice, answer *Answer, watchdog *watchdog) result {
	switch {
	case x.isContinuing && answer.NotRun:
		return result{outcome: routing.OutcomeNeutral, isNotRun: true, reason: reasonNoCopy}
	case answer.NotHeld:
		x.countRejection()
		x.router.noteNotHeld(choice.Runner(), x.row)
		return result{outcome: routing.OutcomeUnavailable, isNotRun: true, reason: reasonNotHeld}
	case answer.NotRun:
		x.countRejection()
		x.noteRejection(choice.Runner())
		return result{outcome: routing.OutcomeRejected, isNotRun: true, reason: reasonShed}
	}
	x.countRun()
	if answer.Length > answer.maxBytes() && x.request.HTTP.Method != http.MethodHead {
		return tooLong()
	}
	if answer.IsStream && answer.Status == http.StatusOK {
		return x.relayStream(ctx, answer, watchdog)
	}
	if x.isContinuing {
		// The former run may have done part of the work, so that an error of the standby is not the
		// answer.
		return result{outcome: routing.OutcomeUnavailable, reason: reasonNotResumed}
	}
	return x.relayBuffered(ctx, answer, watchdog)
}

// countRun counts a runner that may have run the request. A continuation needs no attempt to be left, as it
// is the same run, but takes one: its standby may have begun a run of its own.
func (x *exchange) countRun() { x.attempts++ }

// countRejection counts a runner that rejected the request. A rejected continuation costs no more than
// its own try.
func (x *exchange) countRejection() {
	if !x.isContinuing {
		x.runnerRejections++
	}
}

// noteRejection records that a runner rejected the request. A runner that rejects it a second time
// is excluded.
func (x *exchange) noteRejection(runner structs.RunnerID) {
	if slices.Contains(x.rejectedBy, runner) {
		x.excluded = runner
	}
	x.rejectedBy = append(x.rejectedBy, runner)
}
